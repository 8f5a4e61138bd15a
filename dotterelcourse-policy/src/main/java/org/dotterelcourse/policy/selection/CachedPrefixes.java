package org.dotterelcourse.policy.selection;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which worker has lately read which shared parts of prompts, by what this process has sent there. The least recently
 * used parts are forgotten, as engines do.
 */
public final class CachedPrefixes {
    /** Parts that are remembered; an engine of half a million tokens holds some hundred parts of a few thousand. */
    private static final int MOST_PARTS = 8_192;

    /** How long a part is taken to be there: engines evict what is not used while their memory is short. */
    private static final long KEPT_NANOS = 30_000_000_000L;

    private final Map<String, Map<String, Long>> workersByPart = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Map<String, Long>> eldest) {
            return size() > MOST_PARTS;
        }
    };

    /**
     * A prompt is sent to a worker.
     *
     * @param prompt the prompt
     * @param worker the worker's id
     * @param nowNanos the time
     */
    public void sent(Prompt prompt, String worker, long nowNanos) {
        int shared = prompt.parts().size() - 1;
        for (int i = 0; i < shared; i++) {
            Map<String, Long> workers =
                    workersByPart.computeIfAbsent(prompt.parts().get(i).id(), id -> new HashMap<>());
            workers.values().removeIf(used -> nowNanos - used > KEPT_NANOS);
            workers.put(worker, nowNanos);
        }
    }

    /**
     * How much of a prompt a worker has read before: its first parts up to the first that it has not.
     *
     * @param prompt the prompt
     * @param worker the worker's id
     * @param nowNanos the time
     * @return tokens
     */
    public int cachedTokens(Prompt prompt, String worker, long nowNanos) {
        int tokens = 0;
        for (Prompt.Part part : prompt.parts()) {
            Map<String, Long> workers = workersByPart.get(part.id());
            Long used = workers == null ? null : workers.get(worker);
            if (used == null || nowNanos - used > KEPT_NANOS) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }
}
