package org.dotterelcourse.coordination.transport;

/** Handles the messages of one channel. Called only on the transport's thread, so it needs no locks. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles one message. Must not block: no other message is read while it runs.
     *
     * @param message the message with its sender
     */
    void receive(PeerMessage message);
}
