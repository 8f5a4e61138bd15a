package org.dotterelcourse.gateway.forward;

import java.util.Set;

import org.dotterelcourse.gateway.workers.WorkerEntry;

/**
 * The software version that the further workers of a stream must have. Events of two versions do not fit together, and
 * workers do not check this. A stream belongs to the version that sent its first event; until then any worker may have the
 * request. Not thread-safe.
 */
final class VersionBinding {
    private boolean isBound;
    private String version = "";
    private String attemptVersion = "";
    private int attempts;
    private Set<String> excluded = Set.of();

    /** Records the software version of the worker that has the request from now on; empty if it is unknown. */
    void beginAttempt(String workerVersion) {
        attempts++;
        attemptVersion = workerVersion;
    }

    /**
     * Binds the stream to a version, unless it is bound already.
     *
     * @param streamVersion the version of the stream; empty if it is unknown, so that no other worker may continue it
     */
    void bind(String streamVersion) {
        if (!isBound) {
            isBound = true;
            version = streamVersion;
        }
    }

    /** Returns whether the stream has begun, in this response or in one that the client has got before. */
    boolean isBound() {
        return isBound;
    }

    /** Returns whether the stream has begun at a worker of unknown version. */
    boolean isUnknown() {
        return isBound && version.isEmpty();
    }

    /** Returns the version of the stream; empty if it has not begun or its version is unknown. */
    String version() {
        return version;
    }

    /** Returns the version of the worker that has the request; empty if it is unknown. */
    String attemptVersion() {
        return attemptVersion;
    }

    /** Returns the number of attempts so far. */
    int attempts() {
        return attempts;
    }

    /** Sets the versions whose workers must not get the request, in place of earlier ones. */
    void exclude(Set<String> versions) {
        excluded = versions;
    }

    /** Returns the versions whose workers must not get the request, whether or not the stream has begun. */
    Set<String> excluded() {
        return excluded;
    }

    /** Returns whether a worker of this version may get the request. */
    boolean accepts(String workerVersion) {
        return !excluded.contains(workerVersion) && (!isBound || !version.isEmpty() && version.equals(workerVersion));
    }

    /** Returns whether a worker may get the request. */
    boolean accepts(WorkerEntry worker) {
        return accepts(worker.version());
    }
}
