package org.dotterelcourse.coordination.transport;

/** Takes the messages of one channel. Called on the transport's single thread, so it needs no locks. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Takes one message. It must not block: while it runs, no other message is read.
     *
     * @param message the message with its sender
     */
    void receive(PeerMessage message);
}
