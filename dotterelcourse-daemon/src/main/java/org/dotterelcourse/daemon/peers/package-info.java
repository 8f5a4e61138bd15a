/** The other daemons: membership, owners, grants, relayed configuration. */
package org.dotterelcourse.daemon.peers;
