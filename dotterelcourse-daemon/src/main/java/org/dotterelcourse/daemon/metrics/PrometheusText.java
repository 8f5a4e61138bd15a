package org.dotterelcourse.daemon.metrics;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Collections;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;

/** Formats the registry's metrics in the Prometheus text format, version 0.0.4. */
public final class PrometheusText {
    private PrometheusText() {}

    /**
     * Formats all metrics of a registry.
     *
     * @param registry the registry
     * @return the metrics as text
     */
    public static String of(MetricRegistry registry) {
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, Collections.enumeration(new DropwizardExports(registry).collect()));
        } catch (IOException e) {
            throw new UncheckedIOException("failed to write metrics to a StringWriter", e);
        }
        return text.toString();
    }
}
