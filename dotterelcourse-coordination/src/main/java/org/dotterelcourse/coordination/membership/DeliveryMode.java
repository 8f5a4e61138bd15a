package org.dotterelcourse.coordination.membership;

/** How a message is sent to a peer. */
public enum DeliveryMode {
    /** As one datagram, which may be lost. */
    DATAGRAM,
    /** On the persistent connection to the peer. */
    STREAM,
    /** On a connection that is opened for this message and replaces the persistent one. */
    FRESH_STREAM
}
