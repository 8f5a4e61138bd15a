package org.dotterelcourse.policy.selection;

import java.util.List;
import java.util.Optional;

/**
 * The prompt of a request to an engine.
 *
 * @param parts the parts that it is made of, in their order; the last one is the request's own
 * @param promptTokens tokens of all parts together
 * @param outputTokens the most tokens that the answer may have
 * @param latencyClass what it must not be held up by
 */
public record Prompt(List<Part> parts, int promptTokens, int outputTokens, LatencyClass latencyClass) {
    /**
     * A part of a prompt that other prompts may share.
     *
     * @param id the same for the same text
     * @param tokens its length
     */
    public record Part(String id, int tokens) {}

    /** Attention to each million pairs of a token that is read and one before it (data sheet). */
    private static final double ATTENTION_MILLIS = 0.525;

    private static final double MILLION = 1e6;

    /**
     * The work that the prompt is for an engine that has read some of it before.
     *
     * @param cachedTokens tokens that need not be read again
     * @return estimated milliseconds of prefill
     */
    public double prefillMillis(int cachedTokens) {
        double tokens = Math.max(1, promptTokens - cachedTokens);
        double pairs = tokens * (cachedTokens + tokens / 2);
        return tokens / EngineSelector.PREFILL_TOKENS_PER_MILLI + ATTENTION_MILLIS * pairs / MILLION;
    }

    /**
     * The last part that other prompts may share.
     *
     * @return empty if the prompt has only its own
     */
    public Optional<Part> lastSharedPart() {
        return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
    }

    /**
     * Tokens of the parts that other prompts may share.
     *
     * @return their sum
     */
    public int sharedTokens() {
        return parts.subList(0, Math.max(0, parts.size() - 1)).stream()
                .mapToInt(Part::tokens)
                .sum();
    }
}
