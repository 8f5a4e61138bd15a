/** The daemon: a kernel of named services for callers, operators, upstreams and peer daemons. */
package org.dotterelcourse.daemon;
