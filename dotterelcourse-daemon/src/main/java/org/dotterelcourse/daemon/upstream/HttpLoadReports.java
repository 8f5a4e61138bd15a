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

/** Fetches engines' load reports over HTTP (docs/PROTOCOLS.md, "Engines"). */
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
                    LOG.debug("failed to read the load report of " + address, error);
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
                    parseVersions(report.path("models")),
                    Fence.of(report.path("fence").asLong()),
                    report.path("role").asText());
        } catch (IOException e) {
            throw new UncheckedIOException("load report is not valid JSON", e);
        }
    }

    private static SortedSet<ModelVersion> parseVersions(JsonNode models) {
        SortedSet<ModelVersion> versions = new TreeSet<>();
        models.forEach(entry -> versions.add(new ModelVersion(
                entry.path("model").asText(), entry.path("version").asText())));
        return versions;
    }
}
