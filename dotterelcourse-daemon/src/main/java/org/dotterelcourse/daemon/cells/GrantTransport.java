package org.dotterelcourse.daemon.cells;

import org.dotterelcourse.coordination.grant.GrantMessage;

/** Sends messages of the grant protocol to other daemons or to this daemon itself. */
interface GrantTransport {
    void send(String member, GrantMessage message);
}
