package org.dotterelcourse.daemon.peers;

/** Hears of messages of other daemons. */
@FunctionalInterface
public interface MessageListener {
    /**
     * A message has come.
     *
     * @param from the sender's name, by its own word
     * @param body the message
     */
    void received(String from, byte[] body);
}
