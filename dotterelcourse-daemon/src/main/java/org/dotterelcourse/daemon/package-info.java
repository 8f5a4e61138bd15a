/** The daemon: a kernel of named services around the callers' edge, the upstream client and the other daemons. */
package org.dotterelcourse.daemon;
