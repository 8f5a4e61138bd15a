/** Services that register under a name, find one another by it, and start and stop in order. */
package org.dotterelcourse.daemon.kernel;
