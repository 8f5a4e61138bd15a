/** Carries messages between processes: one TCP connection a peer and UDP datagrams, on Netty. */
package org.dotterelcourse.coordination.transport;
