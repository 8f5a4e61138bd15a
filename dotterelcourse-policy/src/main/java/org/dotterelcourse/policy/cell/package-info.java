/**
 * Scheduling of a cell: a group of workers with one shared request queue. {@link
 * org.dotterelcourse.policy.cell.CellScheduler} decides which request is granted which worker, and which requests are
 * rejected or preempted.
 */
package org.dotterelcourse.policy.cell;
