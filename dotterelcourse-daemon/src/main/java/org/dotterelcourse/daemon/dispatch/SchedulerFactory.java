package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.policy.cell.CellScheduler;

/** Creates the scheduler of a cell. */
public interface SchedulerFactory {
    /**
     * Creates a scheduler without workers.
     *
     * @param cell the cell key
     * @return a new scheduler
     */
    CellScheduler create(String cell);
}
