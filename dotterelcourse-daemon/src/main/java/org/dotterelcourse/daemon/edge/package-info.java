/** The HTTP side towards callers. */
package org.dotterelcourse.daemon.edge;
