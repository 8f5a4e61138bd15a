package org.dotterelcourse.coordination.membership;

/** How a message travels. */
public enum Path {
    /** One datagram; may be lost. */
    DATAGRAM,
    /** The kept connection to the peer. */
    STREAM,
    /** A connection that is opened for this message and replaces the kept one. */
    FRESH_STREAM
}
