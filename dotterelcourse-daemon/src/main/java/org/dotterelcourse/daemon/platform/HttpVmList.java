package org.dotterelcourse.daemon.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.dotterelcourse.daemon.http.IdentifiedCalls;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** HTTP client of the platform's list of VMs; see docs/PROTOCOLS.md, "List of VMs". */
public final class HttpVmList implements VmList {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient client;
    private final ObjectMapper json = new ObjectMapper();

    /**
     * Creates a client.
     *
     * @param address IP address and port of the service
     */
    public HttpVmList(String address) {
        this.client = IdentifiedCalls.configure(HttpClient.create()).baseUrl("http://" + address);
    }

    @Override
    public Mono<List<Vm>> read() {
        return client.get()
                .uri("/v1/vms")
                .responseContent()
                .aggregate()
                .asString()
                .timeout(TIMEOUT)
                .map(this::parse);
    }

    private List<Vm> parse(String body) {
        List<Vm> vms = new ArrayList<>();
        for (JsonNode vm : parseJson(body).path("vms")) {
            vms.add(new Vm(
                    vm.path("name").asText(),
                    vm.path("kind").asText(),
                    vm.path("address").asText(),
                    vm.path("dataCentre").asText(),
                    vm.path("region").asText(),
                    "leaving".equals(vm.path("state").asText())));
        }
        return vms;
    }

    private JsonNode parseJson(String body) {
        try {
            return json.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException("the list of VMs is not valid JSON", e);
        }
    }
}
