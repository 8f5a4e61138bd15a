/** The operators' command line {@code dotterelctl}: checks texts before they are published, and asks daemons. */
package org.dotterelcourse.tool;
