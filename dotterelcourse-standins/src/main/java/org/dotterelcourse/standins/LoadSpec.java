package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A load run.
 *
 * @param daemons addresses of daemons to ask first which ones to use
 * @param counters addresses whose {@code /_stats} and {@code /_runs} tell what ran: engines, services or platforms
 * @param classes what is sent
 * @param bursts when a class sends more than usual
 * @param ratePerSecond arrivals a second over all classes
 * @param length how long requests arrive
 * @param drain how long answers are waited for after the last arrival
 * @param maxInFlight how many requests may be in flight; an arrival beyond that is not sent and counted as skipped
 * @param seed the seed of arrivals, prompts and choices
 */
public record LoadSpec(
        List<String> daemons,
        List<String> counters,
        List<LoadClass> classes,
        List<Burst> bursts,
        double ratePerSecond,
        Duration length,
        Duration drain,
        int maxInFlight,
        long seed) {
    private static final int MAX_REQUESTS = 200_000;
    private static final Duration LONGEST = Duration.ofHours(1);

    /**
     * A time in which a class sends more than usual.
     *
     * @param requestClass the class's name
     * @param start when it starts, from the start of the run
     * @param length how long it lasts
     * @param factor how many times the usual rate
     */
    public record Burst(String requestClass, Duration start, Duration length, double factor) {}

    /**
     * Checks it.
     *
     * @throws IllegalArgumentException if an address is not on loopback or the run is out of bounds
     */
    public LoadSpec {
        daemons = List.copyOf(daemons);
        counters = List.copyOf(counters);
        classes = List.copyOf(classes);
        bursts = List.copyOf(bursts);
        daemons.forEach(Loopback::parse);
        counters.forEach(Loopback::parse);
        if (daemons.isEmpty() || classes.isEmpty()) {
            throw new IllegalArgumentException("a load needs daemons and classes");
        }
        if (ratePerSecond <= 0 || length.compareTo(LONGEST) > 0 || ratePerSecond * length.toSeconds() > MAX_REQUESTS) {
            throw new IllegalArgumentException(
                    "a load has a rate above 0, at most " + MAX_REQUESTS + " requests and " + LONGEST);
        }
    }

    /**
     * Reads a run from JSON; docs/STANDINS.md lists what it takes.
     *
     * @param json the text
     * @return the run
     * @throws IllegalArgumentException if it is not JSON, an address is not on loopback or the run is out of bounds
     */
    public static LoadSpec parse(String json) {
        JsonNode node = Json.parse(json);
        List<LoadClass> classes = new ArrayList<>();
        node.path("classes").forEach(each -> classes.add(LoadClass.parse(each)));
        List<Burst> bursts = new ArrayList<>();
        for (JsonNode each : node.path("bursts")) {
            bursts.add(new Burst(
                    each.path("class").asText(),
                    seconds(each, "atSeconds", 0),
                    seconds(each, "seconds", 1),
                    each.path("factor").asDouble(2)));
        }
        return new LoadSpec(
                texts(node.path("daemons")),
                texts(node.path("counters")),
                classes,
                bursts,
                node.path("ratePerSecond").asDouble(10),
                seconds(node, "seconds", 10),
                seconds(node, "drainSeconds", 60),
                node.path("maxInFlight").asInt(5_000),
                node.path("seed").asLong(1));
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(each -> texts.add(each.asText()));
        return texts;
    }

    private static Duration seconds(JsonNode node, String name, double otherwise) {
        return Duration.ofMillis((long) (node.path(name).asDouble(otherwise) * 1_000));
    }
}
