package org.dotterelcourse.policy.resumption;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Concludes from the part of a prompt that workers keep at which software version a stream of that prompt began. The worker
 * that began it has read the prompt, but workers of other versions may keep the part too if it belongs to a session. So a
 * part proves nothing until the workers of all other versions have been read.
 */
public final class KeptPartEvidence {
    /** Workers of the proven version that must have been read for each worker of another version that is gone. */
    private static final int MIN_READ_PER_GONE = 2;

    private KeptPartEvidence() {}

    /** What is known of one worker. */
    public enum State {
        /** It keeps the part. */
        KEEPS,
        /** It does not keep the part. */
        KEEPS_NOT,
        /** It accepts no connection any more and has lost what it kept. */
        GONE,
        /** It has not answered, so that it may keep the part. */
        UNREAD
    }

    /**
     * What is known of one worker.
     *
     * @param version its software version, empty if it is unknown
     * @param state whether it keeps the part
     */
    public record Reading(String version, State state) {}

    /** What the readings show. */
    public enum Outcome {
        /** The stream began at the version. */
        PROVEN,
        /** Workers of several versions, or of an unknown one, keep the part. */
        SEVERAL_VERSIONS,
        /** No worker keeps the part. */
        NOT_KEPT,
        /** Too many workers of other versions are gone, any of which may have begun the stream. */
        WORKERS_GONE,
        /** Workers that have not been read may change the conclusion. */
        INCOMPLETE
    }

    /**
     * A conclusion.
     *
     * @param outcome what the readings show
     * @param version the version of the stream, empty unless it is proven
     */
    public record Verdict(Outcome outcome, String version) {
        private Verdict(Outcome outcome) {
            this(outcome, "");
        }
    }

    /**
     * Draws the conclusion.
     *
     * @param recorded version of the workers that have kept the part before; empty text if there were several, or if it is
     *     unknown; empty if there were none
     * @param readings what is known of each published worker
     * @return the conclusion
     */
    public static Verdict conclude(Optional<String> recorded, Collection<Reading> readings) {
        Set<String> versions = new HashSet<>();
        recorded.ifPresent(versions::add);
        readings.stream()
                .filter(reading -> reading.state() == State.KEEPS)
                .map(Reading::version)
                .forEach(versions::add);
        if (versions.size() > 1 || versions.contains("")) {
            return new Verdict(Outcome.SEVERAL_VERSIONS);
        }
        String version = versions.stream().findFirst().orElse("");
        int unread = 0;
        int gone = 0;
        int readOfVersion = 0;
        for (Reading reading : readings) {
            boolean isOther = !reading.version().equals(version) || version.isEmpty();
            unread += isOther && reading.state() == State.UNREAD ? 1 : 0;
            gone += isOther && reading.state() == State.GONE ? 1 : 0;
            readOfVersion += !isOther && isRead(reading) ? 1 : 0;
        }
        if (unread > 0) {
            return new Verdict(Outcome.INCOMPLETE);
        }
        if (version.isEmpty()) {
            return new Verdict(Outcome.NOT_KEPT);
        }
        return readOfVersion < MIN_READ_PER_GONE * gone
                ? new Verdict(Outcome.WORKERS_GONE)
                : new Verdict(Outcome.PROVEN, version);
    }

    private static boolean isRead(Reading reading) {
        return reading.state() == State.KEEPS || reading.state() == State.KEEPS_NOT;
    }
}
