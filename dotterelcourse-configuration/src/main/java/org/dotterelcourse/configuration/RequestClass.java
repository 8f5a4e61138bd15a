package org.dotterelcourse.configuration;

/**
 * A request class: what a business asks for and what it was promised.
 *
 * @param name the class's name, unique in the document
 * @param upstream the upstream that serves it
 * @param model the model that serves it, empty for a plain service
 * @param version the model's version, empty for a plain service
 * @param tier 1 is the highest, 4 the lowest
 * @param targetMillis the target from arrival to the first token (engine) or the whole answer (plain service)
 * @param tokenIntervalMillis the target between tokens, 0 for a plain service
 * @param idempotent whether its requests may run more than once
 * @param lateIsUseless whether an answer after its target is worth nothing
 * @param minimumShare the fraction of a cell's work that it gets under any load, 0 to 1
 * @param maxWaiting how many of its requests may wait in one cell
 * @param maxOutputTokens the most tokens an answer may have, 1 for a plain service
 */
public record RequestClass(
        String name,
        String upstream,
        String model,
        String version,
        int tier,
        long targetMillis,
        long tokenIntervalMillis,
        boolean idempotent,
        boolean lateIsUseless,
        double minimumShare,
        int maxWaiting,
        int maxOutputTokens) {}
