/** Message transport between processes on Netty, with one TCP connection per peer and UDP datagrams. */
package org.dotterelcourse.coordination.transport;
