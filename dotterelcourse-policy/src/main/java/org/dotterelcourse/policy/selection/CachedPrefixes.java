package org.dotterelcourse.policy.selection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Which worker has lately read which shared parts of prompts, by what this process and its peers have sent there. The
 * least recently used parts are forgotten, as engines do.
 *
 * <p>Parts and incarnations of workers are known by hashes, which are short enough to be told to peers several times a
 * second. Two with the same hash cost a prompt a bad place at worst. A worker that starts again has read nothing, which
 * its new incarnation says.
 */
public final class CachedPrefixes {
    /** Parts that are remembered; an engine of half a million tokens holds some hundred parts of a few thousand. */
    private static final int MOST_PARTS = 8_192;

    /** How long a part is taken to be there: engines evict what is not used while their memory is short. */
    private static final long KEPT_NANOS = 30_000_000_000L;

    /** A part that is used at the same worker again is told to peers only after this time, well within the one above. */
    private static final long TOLD_AGAIN_NANOS = 8_000_000_000L;

    /** How long a prompt usually waits and is read at a busy engine: half a second in the median of days of high load. */
    private static final long UNREAD_NANOS = 500_000_000L;

    /** Places that wait to be told; more can come only while nobody asks for them. */
    private static final int MOST_UNTOLD = 2_048;

    private final Map<Integer, Map<Integer, Use>> usesByPart = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Map<Integer, Use>> eldest) {
            return size() > MOST_PARTS;
        }
    };

    private List<PartLocation> untold = new ArrayList<>();

    /**
     * A part that a worker has read.
     *
     * @param part hash of the part's name
     * @param worker the worker's incarnation
     */
    public record PartLocation(int part, int worker) {}

    private record Use(long sinceNanos, long usedNanos, long toldNanos) {}

    /**
     * A prompt is sent to a worker.
     *
     * @param prompt the prompt
     * @param worker the worker's incarnation
     * @param nowNanos the time
     */
    public void recordSent(Prompt prompt, int worker, long nowNanos) {
        int shared = prompt.parts().size() - 1;
        for (int i = 0; i < shared; i++) {
            PartLocation place = new PartLocation(prompt.parts().get(i).id().hashCode(), worker);
            Map<Integer, Use> uses = uses(place.part(), nowNanos);
            Use before = uses.get(place.worker());
            boolean tell = before == null || nowNanos - before.toldNanos() > TOLD_AGAIN_NANOS;
            long since = before == null ? nowNanos : before.sinceNanos();
            uses.put(place.worker(), new Use(since, nowNanos, tell ? nowNanos : before.toldNanos()));
            if (tell && untold.size() < MOST_UNTOLD) {
                untold.add(place);
            }
        }
    }

    /**
     * A peer has said that a part was sent to a worker.
     *
     * @param place the part and the worker
     * @param nowNanos the time
     */
    public void recordPeerReport(PartLocation place, long nowNanos) {
        Map<Integer, Use> uses = uses(place.part(), nowNanos);
        Use before = uses.get(place.worker());
        long since = before == null ? nowNanos : before.sinceNanos();
        uses.put(place.worker(), new Use(since, nowNanos, nowNanos));
    }

    /**
     * What peers have not been told yet.
     *
     * @return the places, once each
     */
    public List<PartLocation> drainUnreported() {
        List<PartLocation> taken = untold;
        untold = new ArrayList<>();
        return taken;
    }

    private Map<Integer, Use> uses(int part, long nowNanos) {
        Map<Integer, Use> uses = usesByPart.computeIfAbsent(part, id -> new HashMap<>());
        uses.values().removeIf(use -> nowNanos - use.usedNanos() > KEPT_NANOS);
        return uses;
    }

    /**
     * Whether some worker is known to have read a part.
     *
     * @param part the part's name
     * @param nowNanos the time
     * @return false if it has to be read anew wherever its prompt goes
     */
    public boolean isCachedAnywhere(String part, long nowNanos) {
        Map<Integer, Use> uses = usesByPart.get(part.hashCode());
        return uses != null && uses.values().stream().anyMatch(use -> nowNanos - use.usedNanos() <= KEPT_NANOS);
    }

    /**
     * How much of a prompt a worker has read before: its first parts up to the first that it has not.
     *
     * @param prompt the prompt
     * @param worker the worker's incarnation
     * @param nowNanos the time
     * @return tokens
     */
    public int cachedTokens(Prompt prompt, int worker, long nowNanos) {
        return tokens(prompt, worker, use -> nowNanos - use.usedNanos() <= KEPT_NANOS);
    }

    /**
     * The same, without what was sent there so lately that it may still be waiting to be read. Another worker would fetch
     * nothing and read it once more.
     *
     * @param prompt the prompt
     * @param worker the worker's incarnation
     * @param nowNanos the time
     * @return tokens
     */
    public int fetchableTokens(Prompt prompt, int worker, long nowNanos) {
        return tokens(
                prompt,
                worker,
                use -> nowNanos - use.usedNanos() <= KEPT_NANOS && nowNanos - use.sinceNanos() > UNREAD_NANOS);
    }

    private int tokens(Prompt prompt, int worker, Predicate<Use> there) {
        int tokens = 0;
        for (Prompt.Part part : prompt.parts()) {
            Map<Integer, Use> uses = usesByPart.get(part.id().hashCode());
            Use use = uses == null ? null : uses.get(worker);
            if (use == null || !there.test(use)) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }
}
