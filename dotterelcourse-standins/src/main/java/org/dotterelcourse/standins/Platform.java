package org.dotterelcourse.standins;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Several stand-ins in one process, described by one JSON object; see docs/STANDINS.md. Its own port takes faults for
 * each by name, also for one that refuses connections, and shows the counts of all engines and services together.
 */
public final class Platform implements StandIn {
    private static final String CONFIGURATION = "configuration";
    private static final String VMS = "vms";
    private static final String WEIGHTS = "weights";

    private final JsonNode description;
    private final Path base;
    private final Map<String, StandIn> parts = new LinkedHashMap<>();
    private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
    private final Map<String, ServiceStandIn> services = new LinkedHashMap<>();
    private final StandInServer server;

    private Platform(JsonNode description, Path base) {
        this.description = description;
        this.base = base;
        this.server = new StandInServer(description.path("port").asInt(0), this::handle);
    }

    /**
     * Reads a description.
     *
     * @param file a JSON file; paths in it are relative to its directory
     * @return the platform, not started
     * @throws IOException if the file can't be read
     * @throws IllegalArgumentException if it is not JSON
     */
    public static Platform read(Path file) throws IOException {
        return new Platform(
                Json.parse(Files.readString(file)), file.toAbsolutePath().getParent());
    }

    /**
     * Takes a description.
     *
     * @param json the description; paths in it are relative to the working directory
     * @return the platform, not started
     * @throws IllegalArgumentException if it is not JSON
     */
    public static Platform of(String json) {
        return new Platform(Json.parse(json), Path.of(""));
    }

    /**
     * Starts all parts; what had started is closed when one fails.
     *
     * @return this
     * @throws IOException if a file that it names can't be read
     */
    public Platform start() throws IOException {
        try {
            startParts();
            server.listen();
            return this;
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    @Override
    public String address() {
        return server.address();
    }

    /**
     * Where a part listens.
     *
     * @param name an engine's or service's name, or {@code configuration}, {@code vms}, {@code weights}
     * @return the IP number and port
     * @throws IllegalArgumentException if there is no such part
     */
    public String address(String name) {
        return part(name).address();
    }

    /**
     * Switches a fault of every engine and service.
     *
     * @param fault the fault
     */
    @Override
    public void fault(Fault fault) {
        engines.values().forEach(each -> each.fault(fault));
        services.values().forEach(each -> each.fault(fault));
    }

    /**
     * Switches a fault of one part.
     *
     * @param name the part's name, as for {@link #address(String)}
     * @param fault the fault
     * @throws IllegalArgumentException if there is no such part
     */
    public void fault(String name, Fault fault) {
        part(name).fault(fault);
    }

    @Override
    public void close() {
        parts.values().forEach(StandIn::close);
        server.close();
    }

    /**
     * What all engines together did for each request.
     *
     * @return the sums of the counts by request id
     */
    public Map<String, RequestCount> stats() {
        Map<String, RequestCount> all = new LinkedHashMap<>();
        engines.values().forEach(each -> each.stats().forEach((id, count) -> all.merge(id, count, RequestCount::plus)));
        return all;
    }

    /**
     * How often each request ran at all services together.
     *
     * @return the number of runs by request id
     */
    public Map<String, Integer> runs() {
        Map<String, Integer> all = new LinkedHashMap<>();
        services.values().forEach(each -> each.runs().forEach((id, count) -> all.merge(id, count, Integer::sum)));
        return all;
    }

    ObjectNode ready() {
        ObjectNode ready = Json.object().put("ready", true).put("address", address());
        ObjectNode addresses = ready.putObject("parts");
        parts.forEach((name, part) -> addresses.put(name, part.address()));
        return ready;
    }

    private void startParts() throws IOException {
        if (description.has(WEIGHTS)) {
            JsonNode node = description.get(WEIGHTS);
            add(
                    WEIGHTS,
                    WeightStoreStandIn.builder()
                            .port(node.path("port").asInt(0))
                            .rate(node.path("perSecond").asDouble(10))
                            .build()
                            .start());
        }
        for (JsonNode each : description.path("engines")) {
            EngineStandIn engine = Descriptions.engine(each, weightStore()).build();
            engines.put(each.path("name").asText(), engine);
            add(each.path("name").asText(), engine.start());
        }
        for (JsonNode each : description.path("services")) {
            ServiceStandIn service = Descriptions.service(each).build();
            services.put(each.path("name").asText(), service);
            add(each.path("name").asText(), service.start());
        }
        startConfiguration();
        startVms();
    }

    private void startConfiguration() throws IOException {
        if (!description.has(CONFIGURATION)) {
            return;
        }
        JsonNode node = description.get(CONFIGURATION);
        ConfigurationServiceStandIn service = ConfigurationServiceStandIn.builder()
                .port(node.path("port").asInt(0))
                .quota(node.path("callsPerSecond").asDouble(2_000))
                .build();
        if (node.has("document")) {
            String text = Files.readString(base.resolve(node.get("document").asText()), StandardCharsets.UTF_8);
            service.publish(ConfigurationServiceStandIn.Kind.WHOLE, text);
        }
        add(CONFIGURATION, service.start());
    }

    private void startVms() {
        if (!description.has(VMS)) {
            return;
        }
        JsonNode node = description.get(VMS);
        List<VmListStandIn.Vm> vms = new ArrayList<>();
        node.path("entries")
                .forEach(each -> vms.add(
                        Descriptions.vm(each, "entry", each.path("address").asText())));
        for (String list : List.of("engines", "services")) {
            for (JsonNode each : description.path(list)) {
                vms.add(Descriptions.vm(
                        each, "upstream", address(each.path("name").asText())));
            }
        }
        add(
                VMS,
                VmListStandIn.builder()
                        .port(node.path("port").asInt(0))
                        .lag(Duration.ofMillis(node.path("lagMillis").asLong(1_000)))
                        .vms(vms)
                        .build()
                        .start());
    }

    private void add(String name, StandIn part) {
        if (parts.put(name, part) != null) {
            throw new IllegalArgumentException("two parts are named " + name);
        }
    }

    private String weightStore() {
        return parts.containsKey(WEIGHTS) ? parts.get(WEIGHTS).address() : "";
    }

    private StandIn part(String name) {
        StandIn part = parts.get(name);
        if (part == null) {
            throw new IllegalArgumentException("no part is named " + name + "; known: " + parts.keySet());
        }
        return part;
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return switch ("/" + request.path()) {
            case "/_stats" -> Replies.json(response, 200, Map.of("requests", stats()));
            case "/_runs" -> Replies.json(response, 200, Map.of("runs", runs()));
            case "/_parts" -> Replies.json(response, 200, ready());
            case "/_fault" -> Replies.withBody(request, body -> fault(Json.parse(body), response));
            default -> Replies.problem(response, 404, "no such call");
        };
    }

    private Publisher<Void> fault(JsonNode body, HttpServerResponse response) {
        Fault fault = Fault.parse(body);
        StandIn part = part(body.path("target").asText(""));
        Timers.after(0, () -> part.fault(fault));
        return Replies.json(response, 202, fault);
    }
}
