package org.dotterelcourse.standins;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads the parts of a {@link Platform}'s description. What a part doesn't name keeps its default. */
final class Descriptions {
    private static final double NANOS_PER_MILLI = 1e6;

    private Descriptions() {}

    static EngineBuilder engine(JsonNode node, String weightStore) {
        EngineBuilder builder = EngineStandIn.builder()
                .port(node.path("port").asInt(0))
                .times(
                        millis(node, "stepMillis", 4),
                        millis(node, "perSequenceMillis", 0.25),
                        millis(node, "prefillTokenMillis", 0.05))
                .limits(node.path("batch").asInt(16), node.path("waiting").asInt(32))
                .memory(
                        node.path("kvTokens").asLong(65_536),
                        node.path("cacheBlocks").asInt(2_048))
                .cacheEvents(
                        millis(node, "cacheEventDelayMillis", 500),
                        node.path("cacheEventLoss").asDouble(0.05))
                .reportLag(millis(node, "reportLagMillis", 500))
                .fencing(node.path("fencing").asBoolean(true))
                .loading(millis(node, "loadMillis", 500), weightStore)
                .seed(node.path("seed").asLong(1));
        for (JsonNode each : node.path("models")) {
            builder.model(each.path("model").asText(), each.path("version").asText());
        }
        return builder;
    }

    static ServiceStandIn.Builder service(JsonNode node) {
        return ServiceStandIn.builder()
                .port(node.path("port").asInt(0))
                .limit(node.path("limit").asInt(64))
                .serviceTime(millis(node, "leastMillis", 2), millis(node, "extraMillis", 8))
                .seed(node.path("seed").asLong(1));
    }

    static VmListStandIn.Vm vm(JsonNode node, String kind, String address) {
        return new VmListStandIn.Vm(
                node.path("name").asText(),
                kind,
                node.path("upstream").asText(null),
                address,
                node.path("dataCentre").asText(),
                node.path("region").asText(),
                node.path("state").asText("live"));
    }

    private static Duration millis(JsonNode node, String name, double otherwise) {
        return Duration.ofNanos((long) (node.path(name).asDouble(otherwise) * NANOS_PER_MILLI));
    }
}
