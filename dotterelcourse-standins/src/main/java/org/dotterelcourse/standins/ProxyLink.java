package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.Set;

/** One target of a {@link FaultProxy} and the faults on the way to it. */
public interface ProxyLink {
    /** Which bytes are meant. */
    enum Direction {
        /** From the client to the target. */
        UP,
        /** From the target to the client. */
        DOWN,
        /** Both. */
        BOTH;

        boolean covers(boolean up) {
            return this == BOTH || (this == UP) == up;
        }
    }

    /**
     * What went through.
     *
     * @param open how many connections, or clients of a UDP link, are open
     * @param passed bytes passed on in both directions
     * @param swallowed bytes that were read and not passed on
     */
    record Counts(int open, long passed, long swallowed) {}

    /**
     * Where clients reach the target.
     *
     * @return the IP number and port
     */
    String address();

    /**
     * Delays everything, in both directions. TCP bytes keep their order.
     *
     * @param base the delay of all
     * @param jitter the most that is added at random
     */
    void delay(Duration base, Duration jitter);

    /**
     * Refuses new connections by a reset, or loses datagrams of clients not seen before.
     *
     * @param refuse whether to
     */
    void refuseNew(boolean refuse);

    /** Resets all open connections. */
    void cut();

    /**
     * Makes open connections silent for good: bytes and the closing of the connection are swallowed in the given
     * direction, both ends see an open connection. New ones work, as behind a middlebox that lost its table.
     *
     * @param direction which bytes are swallowed
     */
    void silenceOpen(Direction direction);

    /**
     * Makes connections silent that are opened from now on, until {@link #recover}.
     *
     * @param direction which bytes are swallowed
     */
    void silenceNew(Direction direction);

    /**
     * Loses and doubles datagrams. TCP links take no notice.
     *
     * @param loss the fraction lost, 0 to 1
     * @param duplication the fraction sent twice, 0 to 1
     */
    void loss(double loss, double duplication);

    /**
     * Holds everything from and to some clients until {@link #resume}.
     *
     * @param clients their IP numbers; empty for all
     */
    void hold(Set<String> clients);

    /** Lets go on what {@link #hold} held. */
    void resume();

    /** Ends all faults but those of connections that were made silent. */
    void recover();

    /**
     * What went through.
     *
     * @return the counts since the start
     */
    Counts counts();

    /** Stops listening and closes all connections. */
    void close();
}
