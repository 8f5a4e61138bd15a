package org.dotterelcourse.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;

/**
 * Writes a configuration as its canonical text: INI, sections in the order classes, customers, upstreams, workers and
 * by name, every key that has a value, one blank on either side of the equals sign.
 */
public final class ConfigurationText {
    private static final ClassSection CLASS = new ClassSection();
    private static final CustomerSection CUSTOMER = new CustomerSection();
    private static final UpstreamSection UPSTREAM = new UpstreamSection();
    private static final WorkerSection WORKER = new WorkerSection();

    private ConfigurationText() {}

    /**
     * Writes a configuration.
     *
     * @param configuration the configuration
     * @return a whole document; equal content gives equal text
     */
    public static String render(Configuration configuration) {
        StringBuilder text = new StringBuilder();
        configuration.classes().forEach(each -> append(text, CLASS, each));
        configuration.customers().forEach(each -> append(text, CUSTOMER, each));
        configuration.upstreams().forEach(each -> append(text, UPSTREAM, each));
        for (Upstream upstream : configuration.upstreams()) {
            upstream.workers().forEach(each -> append(text, WORKER, new PlacedWorker(upstream.name(), each)));
        }
        return text.toString();
    }

    /**
     * The digest of a configuration's content.
     *
     * @param configuration the configuration; its number and digest have no part in the result
     * @return the SHA-256 of the canonical text, lower-case hexadecimal
     */
    static String digest(Configuration configuration) {
        return sha256(render(configuration));
    }

    /**
     * The SHA-256 of a text in UTF-8, as customers' bearer keys are stored.
     *
     * @param text the text
     * @return 64 lower-case hexadecimal digits
     */
    public static String sha256(String text) {
        try {
            byte[] sum = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sum);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    private static <T> void append(StringBuilder text, SectionKind<T> kind, T value) {
        text.append('[')
                .append(kind.word())
                .append(' ')
                .append(kind.name(value))
                .append("]\n");
        for (Map.Entry<String, String> entry : kind.write(value).entrySet()) {
            text.append(entry.getKey()).append(" = ").append(entry.getValue()).append('\n');
        }
        text.append('\n');
    }
}
