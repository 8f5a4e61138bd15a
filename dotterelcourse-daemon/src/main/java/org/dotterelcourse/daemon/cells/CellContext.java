package org.dotterelcourse.daemon.cells;

import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.grant.GrantSettings;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.dispatch.SchedulerFactory;

/**
 * What all cells of a daemon share.
 *
 * @param self the daemon's name
 * @param settings times and bounds of the grant protocol
 * @param schedulers makes the scheduler of each cell
 * @param random draws terms
 * @param wire carries messages
 * @param audit hears of changes
 */
record CellContext(
        String self,
        GrantSettings settings,
        SchedulerFactory schedulers,
        RandomGenerator random,
        GrantWire wire,
        AuditTrail audit) {}
