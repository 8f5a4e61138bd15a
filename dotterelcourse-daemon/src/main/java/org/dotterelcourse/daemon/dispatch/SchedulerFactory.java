package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.policy.cell.CellScheduler;

/** Makes the scheduler of a cell. */
public interface SchedulerFactory {
    /**
     * Makes one without workers.
     *
     * @param cell the cell's name
     * @return a new scheduler
     */
    CellScheduler create(String cell);
}
