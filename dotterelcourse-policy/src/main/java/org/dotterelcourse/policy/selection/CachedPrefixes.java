package org.dotterelcourse.policy.selection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which shared prompt parts each worker probably holds in its prefix cache, inferred from the requests that this
 * process and its peers have sent. Evicts the least recently used parts, as engines do.
 *
 * <p>Parts and worker incarnations are identified by hashes, which are short enough to be reported to peers several times
 * a second. A hash collision can at worst send a prompt to a less suitable worker. A restarted worker has a new incarnation
 * and therefore an empty cache.
 */
public final class CachedPrefixes {
    /** An engine with a cache of half a million tokens holds a few hundred parts of a few thousand tokens each. */
    private static final int MAX_PARTS = 8_192;

    /** Time after its last use for which a part counts as cached: engines that run short of memory evict unused parts. */
    private static final long CACHE_RETENTION_NANOS = 30_000_000_000L;

    /**
     * Shortest time between two reports of the same part and worker to peers, well below {@link #CACHE_RETENTION_NANOS}.
     */
    private static final long REPORT_INTERVAL_NANOS = 8_000_000_000L;

    /** Usual time until a busy engine has read a prompt: the median over days of high load is half a second. */
    private static final long PREFILL_DELAY_NANOS = 500_000_000L;

    /** Limit of the unreported locations; it is reached only while nothing drains them. */
    private static final int MAX_UNREPORTED = 2_048;

    private final Map<Integer, Map<Integer, Usage>> usagesByPart = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Map<Integer, Usage>> eldest) {
            return size() > MAX_PARTS;
        }
    };

    private List<PartLocation> unreported = new ArrayList<>();

    /**
     * A prompt part and a worker that has been sent it.
     *
     * @param part hash of the part's id
     * @param worker incarnation of the worker
     */
    public record PartLocation(int part, int worker) {}

    private record Usage(long firstSentNanos, long lastUsedNanos, long reportedNanos) {
        boolean isCached(long nowNanos) {
            return nowNanos - lastUsedNanos <= CACHE_RETENTION_NANOS;
        }

        boolean isFetchable(long nowNanos) {
            return isCached(nowNanos) && nowNanos - firstSentNanos > PREFILL_DELAY_NANOS;
        }
    }

    /**
     * Records that a prompt was sent to a worker.
     *
     * @param prompt the prompt
     * @param worker incarnation of the worker
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordSent(Prompt prompt, int worker, long nowNanos) {
        int shared = prompt.parts().size() - 1;
        for (int i = 0; i < shared; i++) {
            int part = prompt.parts().get(i).id().hashCode();
            Map<Integer, Usage> usages = usagesByPart.computeIfAbsent(part, id -> new HashMap<>());
            Usage previous = usages.get(worker);
            boolean report = previous == null || nowNanos - previous.reportedNanos() > REPORT_INTERVAL_NANOS;
            recordUse(usages, worker, previous, report ? nowNanos : previous.reportedNanos(), nowNanos);
            if (report && unreported.size() < MAX_UNREPORTED) {
                unreported.add(new PartLocation(part, worker));
            }
        }
    }

    /**
     * Records a peer's report that a part was sent to a worker.
     *
     * @param location the part and the worker
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordPeerReport(PartLocation location, long nowNanos) {
        Map<Integer, Usage> usages = usagesByPart.computeIfAbsent(location.part(), id -> new HashMap<>());
        recordUse(usages, location.worker(), usages.get(location.worker()), nowNanos, nowNanos);
    }

    /** Records the use of a part at a worker. Expired locations of the part are removed when another one is added. */
    private static void recordUse(
            Map<Integer, Usage> usages, int worker, Usage previous, long reportedNanos, long nowNanos) {
        if (previous == null) {
            usages.values().removeIf(usage -> !usage.isCached(nowNanos));
        }
        boolean stillCached = previous != null && previous.isCached(nowNanos);
        long firstSent = stillCached ? previous.firstSentNanos() : nowNanos;
        usages.put(worker, new Usage(firstSent, nowNanos, reportedNanos));
    }

    /**
     * Returns and clears the locations that have not been reported to peers yet.
     *
     * @return the unreported locations, in the order in which they were recorded
     */
    public List<PartLocation> drainUnreported() {
        List<PartLocation> drained = unreported;
        unreported = new ArrayList<>();
        return drained;
    }

    /**
     * Whether at least one worker probably has a part in its cache.
     *
     * @param part id of the part
     * @param nowNanos current monotonic time in nanoseconds
     * @return false if any worker that gets the part has to read it first
     */
    public boolean isCachedAnywhere(String part, long nowNanos) {
        return isCached(usagesByPart.get(part.hashCode()), nowNanos);
    }

    private static boolean isCached(Map<Integer, Usage> usages, long nowNanos) {
        if (usages != null) {
            for (Usage usage : usages.values()) {
                if (usage.isCached(nowNanos)) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Length of the prefix of a prompt that a worker probably has in its cache. The prefix ends before the first part that
     * is not cached there.
     *
     * @param prompt the prompt
     * @param worker incarnation of the worker
     * @param nowNanos current monotonic time in nanoseconds
     * @return cached tokens, 0 if the first part is not cached
     */
    public int cachedTokens(Prompt prompt, int worker, long nowNanos) {
        return lookup(prompt, nowNanos).cachedTokens(worker);
    }

    /**
     * Length of the cached prefix of a prompt that another engine can fetch from a worker. Unlike {@link #cachedTokens}, it
     * excludes parts that were sent there so recently that they may still wait to be read: an engine that tried to fetch
     * them would get nothing and read them itself.
     *
     * @param prompt the prompt
     * @param worker incarnation of the worker
     * @param nowNanos current monotonic time in nanoseconds
     * @return fetchable tokens, 0 if the first part cannot be fetched
     */
    public int fetchableTokens(Prompt prompt, int worker, long nowNanos) {
        return lookup(prompt, nowNanos).fetchableTokens(worker);
    }

    /**
     * Looks up the shared parts of a prompt, for questions about many workers.
     *
     * @param prompt the prompt
     * @param nowNanos current monotonic time in nanoseconds
     * @return the locations of the parts; valid until the next change of this object
     */
    Lookup lookup(Prompt prompt, long nowNanos) {
        return new Lookup(prompt, nowNanos);
    }

    /** The locations of the parts of one prompt at one time. */
    final class Lookup {
        private final List<Prompt.Part> parts;
        private final List<Map<Integer, Usage>> usages;
        private final long nowNanos;

        private Lookup(Prompt prompt, long nowNanos) {
            this.parts = prompt.parts();
            this.usages = new ArrayList<>(parts.size());
            this.nowNanos = nowNanos;
            for (Prompt.Part part : parts) {
                Map<Integer, Usage> known = usagesByPart.get(part.id().hashCode());
                if (known == null) {
                    break;
                }
                usages.add(known);
            }
        }

        /** Whether no worker has been sent the first part. */
        boolean isEmpty() {
            return usages.isEmpty();
        }

        /** Whether at least one worker probably has the last shared part in its cache. */
        boolean isLastSharedPartCachedAnywhere() {
            int last = parts.size() - 2;
            if (last < 0) {
                return false;
            }
            return isCached(
                    last < usages.size()
                            ? usages.get(last)
                            : usagesByPart.get(parts.get(last).id().hashCode()),
                    nowNanos);
        }

        /** See {@link CachedPrefixes#cachedTokens}. */
        int cachedTokens(int worker) {
            int tokens = 0;
            for (int i = 0; i < usages.size(); i++) {
                Usage usage = usages.get(i).get(worker);
                if (usage == null || !usage.isCached(nowNanos)) {
                    return tokens;
                }
                tokens += parts.get(i).tokens();
            }
            return tokens;
        }

        /** See {@link CachedPrefixes#fetchableTokens}. */
        int fetchableTokens(int worker) {
            int tokens = 0;
            for (int i = 0; i < usages.size(); i++) {
                Usage usage = usages.get(i).get(worker);
                if (usage == null || !usage.isFetchable(nowNanos)) {
                    return tokens;
                }
                tokens += parts.get(i).tokens();
            }
            return tokens;
        }
    }
}
