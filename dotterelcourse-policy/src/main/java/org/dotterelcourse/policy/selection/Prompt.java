package org.dotterelcourse.policy.selection;

import java.util.List;
import java.util.Optional;

/**
 * Prompt of a request to an engine.
 *
 * @param parts parts of the prompt in their order; the last one belongs to this request alone, the others may be shared
 * @param promptTokens total length of all parts in tokens
 * @param outputTokens maximum length of the answer in tokens
 * @param latencyClass delays that the stream tolerates
 */
public record Prompt(List<Part> parts, int promptTokens, int outputTokens, LatencyClass latencyClass) {
    /**
     * A part of a prompt.
     *
     * @param id identifies the text: equal texts have equal ids
     * @param tokens length in tokens
     */
    public record Part(String id, int tokens) {}

    /**
     * Attention time for one million pairs, each of a token that is read and a token before it in the prompt (data sheet).
     */
    private static final double ATTENTION_MILLIS_PER_MILLION_PAIRS = 0.525;

    private static final double MILLION = 1e6;

    /**
     * Estimates the prefill time of the prompt on an engine that has a prefix of it in its cache.
     *
     * @param cachedTokens length of the cached prefix in tokens
     * @return prefill time in milliseconds
     */
    public double prefillMillis(int cachedTokens) {
        double tokens = Math.max(1, promptTokens - cachedTokens);
        double pairs = tokens * (cachedTokens + tokens / 2);
        return tokens / EngineSelector.PREFILL_TOKENS_PER_MILLI + ATTENTION_MILLIS_PER_MILLION_PAIRS * pairs / MILLION;
    }

    /**
     * Returns this prompt with another latency class.
     *
     * @param other the class
     * @return a prompt of the same parts
     */
    public Prompt withLatencyClass(LatencyClass other) {
        return new Prompt(parts, promptTokens, outputTokens, other);
    }

    /**
     * The parts that other prompts may share.
     *
     * @return all parts but the last one, which belongs to the request or its session
     */
    public List<Part> sharedParts() {
        return parts.size() < 2 ? List.of() : parts.subList(0, parts.size() - 1);
    }

    /**
     * The last of the parts that other prompts may share.
     *
     * @return the part before the last one; empty if the prompt has no shared part
     */
    public Optional<Part> lastSharedPart() {
        return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
    }

    /**
     * Total length of the parts that other prompts may share.
     *
     * @return tokens, 0 if the prompt has no shared part
     */
    public int sharedTokens() {
        return parts.subList(0, Math.max(0, parts.size() - 1)).stream()
                .mapToInt(Part::tokens)
                .sum();
    }
}
