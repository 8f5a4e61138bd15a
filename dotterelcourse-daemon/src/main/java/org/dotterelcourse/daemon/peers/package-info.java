/** Membership of the fleet and messages between daemons, used for ownership, grants and configuration relay. */
package org.dotterelcourse.daemon.peers;
