/** Selects the processes that aggregate reports, so that traffic does not grow with the square of the fleet's size. */
package org.dotterelcourse.coordination.collect;
