package org.dotterelcourse.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * Renders a configuration as canonical INI text. Sections appear in the order classes, customers, upstreams, sorted by
 * name within each kind; the workers of an upstream follow it. Every key that has a value is written, with one space on
 * either side of the equals sign.
 */
public final class ConfigurationText {
    private static final ClassSection CLASS = new ClassSection();
    private static final CustomerSection CUSTOMER = new CustomerSection();
    private static final UpstreamSection UPSTREAM = new UpstreamSection();
    private static final WorkerSection WORKER = new WorkerSection();

    private static final int EXPECTED_SECTION_LENGTH_CHARS = 300;

    private ConfigurationText() {}

    /**
     * Renders a configuration.
     *
     * @param configuration the configuration to render
     * @return the complete document; equal content gives equal text
     */
    public static String render(Configuration configuration) {
        int sectionCount =
                configuration.classes().size() + configuration.customers().size();
        StringBuilder text = new StringBuilder(sectionCount * EXPECTED_SECTION_LENGTH_CHARS);
        configuration.classes().forEach(each -> append(text, CLASS, each));
        configuration.customers().forEach(each -> append(text, CUSTOMER, each));
        configuration.upstreams().forEach(each -> text.append(upstreamText(each)));
        return text.toString();
    }

    /**
     * Computes the digest of a configuration: the SHA-256 over the SHA-256 digests of the canonical texts of its
     * classes, customers and upstreams. The text of an upstream includes the sections of its workers.
     *
     * @param content the configuration; its current digest is ignored
     * @param base a configuration whose record digests are reused for equal records, or null
     * @return the same content with the computed digest
     */
    static Configuration withDigest(Configuration content, Configuration base) {
        SectionDigests<RequestClass> classes = SectionDigests.of(
                content.classes(),
                base == null ? null : IndexedList.digests(base.classes()),
                CLASS::name,
                each -> sectionText(CLASS, each));
        SectionDigests<Customer> customers = SectionDigests.of(
                content.customers(),
                base == null ? null : IndexedList.digests(base.customers()),
                CUSTOMER::name,
                each -> sectionText(CUSTOMER, each));
        SectionDigests<Upstream> upstreams = SectionDigests.of(
                content.upstreams(),
                base == null ? null : IndexedList.digests(base.upstreams()),
                UPSTREAM::name,
                ConfigurationText::upstreamText);
        MessageDigest digest = newDigest();
        classes.addTo(digest);
        customers.addTo(digest);
        upstreams.addTo(digest);
        return new Configuration(
                content.number(),
                HexFormat.of().formatHex(digest.digest()),
                IndexedList.of(content.classes(), List.of()).withDigests(classes),
                IndexedList.of(content.customers(), List.of()).withDigests(customers),
                IndexedList.of(content.upstreams(), List.of()).withDigests(upstreams));
    }

    /**
     * Computes the SHA-256 of a text in UTF-8. Customers' bearer keys are stored in this form.
     *
     * @param text the text to hash, for example a bearer key
     * @return 64 lower-case hexadecimal digits
     */
    public static String sha256(String text) {
        return HexFormat.of().formatHex(newDigest().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    private static <T> String sectionText(SectionKind<T> kind, T value) {
        StringBuilder text = new StringBuilder();
        append(text, kind, value);
        return text.toString();
    }

    private static String upstreamText(Upstream upstream) {
        StringBuilder text = new StringBuilder();
        append(text, UPSTREAM, upstream);
        upstream.workers().forEach(each -> append(text, WORKER, new UpstreamWorker(upstream.name(), each)));
        return text.toString();
    }

    private static <T> void append(StringBuilder text, SectionKind<T> kind, T value) {
        text.append('[')
                .append(kind.kindName())
                .append(' ')
                .append(kind.name(value))
                .append("]\n");
        kind.write(
                value,
                (key, entry) -> text.append(key).append(" = ").append(entry).append('\n'));
        text.append('\n');
    }
}
