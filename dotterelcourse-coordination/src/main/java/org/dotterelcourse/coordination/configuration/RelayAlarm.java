package org.dotterelcourse.coordination.configuration;

/** What an operator must look at. */
public sealed interface RelayAlarm {

    /**
     * A peer decided the same entries with another result. Both read the service again.
     *
     * @param position the entry that both decided last
     * @param peer the peer's name
     * @param own digest here
     * @param other digest there
     */
    record DigestMismatch(long position, String peer, long own, long other) implements RelayAlarm {}

    /**
     * Reading again gave another content, which has replaced the one in force.
     *
     * @param number the number in force
     */
    record Corrected(long number) implements RelayAlarm {}

    /**
     * Reading again gave a lower number in force; it was not taken, since a number never falls.
     *
     * @param inForce the number in force
     * @param read the number that the service's entries lead to
     */
    record Contradicted(long inForce, long read) implements RelayAlarm {}

    /**
     * The service is behind the fleet, as after a restart from an old copy. Nothing is taken back.
     *
     * @param position the position here
     * @param head the service's head
     */
    record ServiceBehind(long position, long head) implements RelayAlarm {}
}
