/** Measurements of membership, the configuration relay and the peer transport, in one process over loopback. */
package org.dotterelcourse.coordination.measure;
