package org.dotterelcourse.policy.selection;

import java.util.List;

/**
 * The prompt of a request to an engine.
 *
 * @param parts the parts that it is made of, in their order; the last one is the request's own
 * @param promptTokens tokens of all parts together
 * @param outputTokens the most tokens that the answer may have
 * @param interactive whether the pauses between the answer's events must be shorter than a long prompt's prefill takes
 */
public record Prompt(List<Part> parts, int promptTokens, int outputTokens, boolean interactive) {
    /**
     * A part of a prompt that other prompts may share.
     *
     * @param id the same for the same text
     * @param tokens its length
     */
    public record Part(String id, int tokens) {}

    /**
     * The work that the prompt is for an engine that has read some of it before.
     *
     * @param cachedTokens tokens that need not be read again
     * @return estimated milliseconds of prefill
     */
    public double prefillMillis(int cachedTokens) {
        return Math.max(1, promptTokens - cachedTokens) / EngineSelector.PREFILL_TOKENS_PER_MILLI;
    }
}
