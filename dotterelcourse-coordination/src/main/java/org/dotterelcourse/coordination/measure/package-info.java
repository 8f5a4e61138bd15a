/** Measures membership and the configuration relay with many nodes in one process over loopback. */
package org.dotterelcourse.coordination.measure;
