/** Logging in JSON lines. */
package org.dotterelcourse.daemon.log;
