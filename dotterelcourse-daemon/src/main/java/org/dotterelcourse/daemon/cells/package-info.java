/** Cells as this daemon takes part in them: their owners, its own asks and grants. */
package org.dotterelcourse.daemon.cells;
