package org.dotterelcourse.daemon.operators;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Collections;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;

/** Formats the registry's metrics in the Prometheus text format, version 0.0.4. */
final class PrometheusText {
    private PrometheusText() {}

    static String of(MetricRegistry registry) {
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, Collections.enumeration(new DropwizardExports(registry).collect()));
        } catch (IOException e) {
            throw new UncheckedIOException("failed to write metrics to a StringWriter", e);
        }
        return text.toString();
    }
}
