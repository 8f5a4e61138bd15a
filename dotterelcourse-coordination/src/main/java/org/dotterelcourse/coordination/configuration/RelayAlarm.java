package org.dotterelcourse.coordination.configuration;

/** An inconsistency of the configuration that an operator must investigate. Alarms are written out as text. */
public sealed interface RelayAlarm {

    /**
     * A peer folded the entries up to the same position to a different content. Both read the entries again.
     *
     * @param position the position of both processes
     * @param peer name of the peer
     * @param own digest of the content in force in this process
     * @param other digest of the content in force at the peer
     */
    record DigestMismatch(long position, String peer, long own, long other) implements RelayAlarm {}

    /**
     * Reading the entries again gave a different content, which has replaced the one in force.
     *
     * @param number number of the new content in force
     */
    record Corrected(long number) implements RelayAlarm {}

    /**
     * Reading the entries again gave a content with a lower number. It was discarded, since the number in force never
     * decreases.
     *
     * @param inForce the number in force
     * @param read the number that results from the service's entries
     */
    record Contradicted(long inForce, long read) implements RelayAlarm {}

    /**
     * The service's newest entry is older than the position of this process, as after a restore from an old copy. The
     * content in force is kept.
     *
     * @param position the position of this process
     * @param head number of the newest entry of the service
     */
    record ServiceBehind(long position, long head) implements RelayAlarm {}
}
