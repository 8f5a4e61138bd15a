package org.dotterelcourse.policy.resumption;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The software versions of which workers were published, by upstream, and for how long this process has known all of them.
 * While an upstream has had a single version for longer than any stream lasts, all its streams belong to that version, and
 * nothing need be exchanged about them.
 */
public final class VersionHistory {
    /** An observation that is later than this shows that the process was paused and knows less than its peers. */
    private static final long MIN_PAUSE_NANOS = 1_000_000_000L;

    /**
     * Longest pause after which the observation goes on. Another process takes a version for the only one, and tells nobody of
     * its streams, only when it has seen no other for twice a route's time limit, which is 10 s or more. This process knew that
     * version before a shorter pause then.
     */
    private static final long MAX_PAUSE_NANOS = 4_000_000_000L;

    /** Time after a pause in which the messages that have arrived meanwhile are read. */
    private static final long READ_NANOS = 500_000_000L;

    /** Time after a pause in which changes that were made meanwhile become known, from the store or from peers. */
    private static final long CHANGES_NANOS = 2_000_000_000L;

    private final Map<String, Map<String, Serving>> byUpstream = new HashMap<>();
    private final Map<String, String> vouched = new HashMap<>();
    private boolean isObserving;
    private long observedSinceNanos;
    private long observedNanos;
    private boolean isCatchingUp;
    private long pausedNanos;
    private long resumedNanos;

    /** The workers of one version: their current number, and when the last one was published if there is none. */
    private static final class Serving {
        private int workers;
        private long endedNanos;
    }

    /**
     * Records that the published workers are known from now on. Until then, and after a pause, versions may have served
     * unnoticed.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void beginObservation(long nowNanos) {
        isObserving = true;
        observedSinceNanos = nowNanos;
        observedNanos = nowNanos;
        isCatchingUp = false;
        vouched.clear();
    }

    /**
     * Records that the published workers are known at this moment. Must be called before any conclusion, and several times a
     * second. After a short pause nothing is concluded for a moment; after a long one, or several in a row, the observation
     * begins anew.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void observe(long nowNanos) {
        if (!isObserving) {
            beginObservation(nowNanos);
        } else if (nowNanos - observedNanos > MIN_PAUSE_NANOS) {
            pausedNanos = isCatchingUp ? pausedNanos : observedNanos;
            isCatchingUp = true;
            resumedNanos = nowNanos;
            if (nowNanos - pausedNanos > MAX_PAUSE_NANOS) {
                beginObservation(nowNanos);
            }
        } else if (isCatchingUp && nowNanos - resumedNanos >= CHANGES_NANOS) {
            isCatchingUp = false;
        }
        observedNanos = nowNanos;
    }

    /**
     * Returns for how long nothing can be concluded because of a pause of this process.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the time in nanoseconds; 0 if there was no pause or what has arrived in it has been read
     */
    public long catchUpNanos(long nowNanos) {
        return isCatchingUp ? Math.max(0, resumedNanos + READ_NANOS - nowNanos) : 0;
    }

    /**
     * Records that a process which has observed an upstream for longer than any stream lasts has seen a single version there.
     * Together with what this process has observed since, that is as good as an observation of its own.
     *
     * @param upstream name of the upstream
     * @param version the only version that the other process has seen until now
     */
    public void vouch(String upstream, String version) {
        vouched.put(upstream, version);
    }

    /**
     * Returns the upstreams about which nothing can be concluded yet although a single version is known.
     *
     * @param streamNanos longest time in nanoseconds from the beginning of a stream to its last resumption
     * @param nowNanos current monotonic time in nanoseconds
     * @return names of the upstreams
     */
    public Set<String> unprovenUpstreams(long streamNanos, long nowNanos) {
        return byUpstream.keySet().stream()
                .filter(upstream ->
                        onlySeenVersion(upstream, streamNanos, nowNanos).isPresent())
                .filter(upstream -> onlyVersion(upstream, streamNanos, nowNanos).isEmpty())
                .collect(Collectors.toSet());
    }

    /**
     * Records that a worker is published.
     *
     * @param upstream name of the worker's upstream
     * @param version its software version, empty if it is unknown
     */
    public void add(String upstream, String version) {
        byUpstream
                .computeIfAbsent(upstream, name -> new HashMap<>())
                .computeIfAbsent(version, name -> new Serving())
                .workers++;
    }

    /**
     * Records that a worker is no longer published. It may still serve for a while.
     *
     * @param upstream name of the worker's upstream
     * @param version its software version, as it was added
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void remove(String upstream, String version, long nowNanos) {
        Serving serving = byUpstream.getOrDefault(upstream, Map.of()).get(version);
        if (serving != null && serving.workers > 0) {
            serving.workers--;
            serving.endedNanos = nowNanos;
        }
    }

    /**
     * Returns the versions of which workers are published.
     *
     * @param upstream name of the upstream
     * @return the versions, empty for workers of unknown version
     */
    public Set<String> servingVersions(String upstream) {
        return byUpstream.getOrDefault(upstream, Map.of()).entrySet().stream()
                .filter(version -> version.getValue().workers > 0)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the version of all streams of an upstream.
     *
     * @param upstream name of the upstream
     * @param streamNanos longest time in nanoseconds from the beginning of a stream to its last resumption
     * @param nowNanos current monotonic time in nanoseconds
     * @return the only version that has served for so long; empty if there were several, if it is unknown, or if neither
     *     this process nor one that has vouched for it has observed the upstream for so long
     */
    public Optional<String> onlyVersion(String upstream, long streamNanos, long nowNanos) {
        boolean isObservedForLong = isObserving && nowNanos - observedSinceNanos >= streamNanos;
        return onlySeenVersion(upstream, streamNanos, nowNanos)
                .filter(version -> catchUpNanos(nowNanos) == 0)
                .filter(version -> isObservedForLong || version.equals(vouched.get(upstream)));
    }

    /**
     * Returns the only version that this process has seen, for however short a time. Another one may have served before.
     *
     * @param upstream name of the upstream
     * @param streamNanos longest time in nanoseconds from the beginning of a stream to its last resumption
     * @param nowNanos current monotonic time in nanoseconds
     * @return the version; empty if there were several, or if it is unknown
     */
    public Optional<String> onlySeenVersion(String upstream, long streamNanos, long nowNanos) {
        Map<String, Serving> versions = byUpstream.getOrDefault(upstream, new HashMap<>());
        versions.values().removeIf(each -> each.workers == 0 && nowNanos - each.endedNanos > streamNanos);
        return versions.size() == 1
                ? versions.keySet().stream()
                        .filter(version -> !version.isEmpty())
                        .findFirst()
                : Optional.empty();
    }

    /**
     * Returns whether several versions of an upstream have served lately, which contradicts a process that knows of one.
     *
     * @param upstream name of the upstream
     * @param streamNanos longest time in nanoseconds from the beginning of a stream to its last resumption
     * @param nowNanos current monotonic time in nanoseconds
     * @return true if this process has seen more than one version within that time
     */
    public boolean hasSeveral(String upstream, long streamNanos, long nowNanos) {
        return byUpstream.getOrDefault(upstream, Map.of()).values().stream()
                        .filter(each -> each.workers > 0 || nowNanos - each.endedNanos <= streamNanos)
                        .count()
                > 1;
    }

    /**
     * Returns whether a stream of an upstream may belong to any of several versions, as far as this process knows.
     *
     * @param upstream name of the upstream
     * @param streamNanos longest time in nanoseconds from the beginning of a stream to its last resumption
     * @param nowNanos current monotonic time in nanoseconds
     * @return true unless there is an only version
     */
    public boolean isAmbiguous(String upstream, long streamNanos, long nowNanos) {
        return onlyVersion(upstream, streamNanos, nowNanos).isEmpty();
    }
}
