package org.dotterelcourse.daemon.cells;

import org.dotterelcourse.coordination.grant.GrantMessage;

/** Carries messages of the grant protocol to other daemons, and to this one. */
interface GrantWire {
    void send(String member, GrantMessage message);
}
