package org.dotterelcourse.daemon.peers;

/** Receives the messages that other daemons send on a channel. */
@FunctionalInterface
public interface MessageListener {
    /**
     * Handles a message.
     *
     * @param from the name that the sender put into the message; not authenticated
     * @param body the message in the channel's own encoding
     */
    void received(String from, byte[] body);
}
