/** Cells: ownership, and the daemon's role as client and owner in the grant protocol. */
package org.dotterelcourse.daemon.cells;
