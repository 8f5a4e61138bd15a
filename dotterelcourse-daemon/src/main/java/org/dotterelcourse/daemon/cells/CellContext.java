package org.dotterelcourse.daemon.cells;

import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.grant.GrantSettings;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.dispatch.SchedulerFactory;

/**
 * Dependencies shared by all cells of a daemon.
 *
 * @param self the name of this daemon
 * @param settings timeouts and limits of the grant protocol
 * @param schedulers creates the scheduler of each cell
 * @param random source of randomness for the grant terms and retry times
 * @param transport sends grant messages to cluster members
 * @param audit records changes of ownership and mode
 */
record CellContext(
        String self,
        GrantSettings settings,
        SchedulerFactory schedulers,
        RandomGenerator random,
        GrantTransport transport,
        AuditTrail audit) {}
