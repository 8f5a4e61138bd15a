package org.dotterelcourse.daemon.upstream;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.SortedSet;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.dotterelcourse.coordination.order.Fence;
import org.dotterelcourse.coordination.order.ModelVersion;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Reads load reports over HTTP: docs/PROTOCOLS.md, "Engines". */
public final class HttpLoadReports implements LoadReports {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final Logger LOG = Logger.getLogger(HttpLoadReports.class);

    private final HttpClient client = UpstreamClients.pooled(TIMEOUT);
    private final ObjectMapper json = new ObjectMapper();

    @Override
    public Mono<LoadReport> read(String address) {
        return client.get()
                .uri("http://" + address + "/v1/load")
                .responseContent()
                .aggregate()
                .asString()
                .timeout(TIMEOUT)
                .map(this::parse)
                .onErrorResume(error -> {
                    LOG.debug("no load report from " + address, error);
                    return Mono.empty();
                });
    }

    private LoadReport parse(String body) {
        try {
            JsonNode report = json.readTree(body);
            return new LoadReport(
                    report.required("running").asInt(),
                    report.required("waiting").asInt(),
                    report.path("reportedAtMillis").asLong(),
                    loaded(report.path("models")),
                    Fence.of(report.path("fence").asLong()),
                    report.path("role").asText());
        } catch (IOException e) {
            throw new UncheckedIOException("a load report is not JSON", e);
        }
    }

    private static SortedSet<ModelVersion> loaded(JsonNode models) {
        SortedSet<ModelVersion> loaded = new TreeSet<>();
        models.forEach(each -> loaded.add(new ModelVersion(
                each.path("model").asText(), each.path("version").asText())));
        return loaded;
    }
}
