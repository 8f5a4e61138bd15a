package org.dotterelcourse.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * Writes a configuration as its canonical text: INI, sections in the order classes, customers, upstreams and by
 * name, an upstream's workers after it, every key that has a value, one blank on either side of the equals sign.
 */
public final class ConfigurationText {
    private static final ClassSection CLASS = new ClassSection();
    private static final CustomerSection CUSTOMER = new CustomerSection();
    private static final UpstreamSection UPSTREAM = new UpstreamSection();
    private static final WorkerSection WORKER = new WorkerSection();

    private static final int USUAL_SECTION_LENGTH = 300;

    private ConfigurationText() {}

    /**
     * Writes a configuration.
     *
     * @param configuration the configuration
     * @return a whole document; equal content gives equal text
     */
    public static String render(Configuration configuration) {
        int sections =
                configuration.classes().size() + configuration.customers().size();
        StringBuilder text = new StringBuilder(sections * USUAL_SECTION_LENGTH);
        configuration.classes().forEach(each -> append(text, CLASS, each));
        configuration.customers().forEach(each -> append(text, CUSTOMER, each));
        configuration.upstreams().forEach(each -> text.append(withWorkers(each)));
        return text.toString();
    }

    /**
     * Gives a configuration the digest of its content: the SHA-256 over the SHA-256 sums of the canonical texts of its
     * classes, customers and upstreams, the workers' sections following their upstream's.
     *
     * @param content the configuration; its digest has no part in the result
     * @param base a configuration whose sums are used for what is equal in both, or null
     * @return the same content with its digest
     */
    static Configuration withDigest(Configuration content, Configuration base) {
        SectionSums<RequestClass> classes = SectionSums.of(
                content.classes(),
                base == null ? null : IndexedList.sums(base.classes()),
                CLASS::name,
                each -> text(CLASS, each));
        SectionSums<Customer> customers = SectionSums.of(
                content.customers(),
                base == null ? null : IndexedList.sums(base.customers()),
                CUSTOMER::name,
                each -> text(CUSTOMER, each));
        SectionSums<Upstream> upstreams = SectionSums.of(
                content.upstreams(),
                base == null ? null : IndexedList.sums(base.upstreams()),
                UPSTREAM::name,
                ConfigurationText::withWorkers);
        MessageDigest digest = newDigest();
        classes.addTo(digest);
        customers.addTo(digest);
        upstreams.addTo(digest);
        return new Configuration(
                content.number(),
                HexFormat.of().formatHex(digest.digest()),
                IndexedList.of(content.classes(), List.of()).withSums(classes),
                IndexedList.of(content.customers(), List.of()).withSums(customers),
                IndexedList.of(content.upstreams(), List.of()).withSums(upstreams));
    }

    /**
     * The SHA-256 of a text in UTF-8, as customers' bearer keys are stored.
     *
     * @param text the text
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

    private static <T> String text(SectionKind<T> kind, T value) {
        StringBuilder text = new StringBuilder();
        append(text, kind, value);
        return text.toString();
    }

    private static String withWorkers(Upstream upstream) {
        StringBuilder text = new StringBuilder();
        append(text, UPSTREAM, upstream);
        upstream.workers().forEach(each -> append(text, WORKER, new PlacedWorker(upstream.name(), each)));
        return text.toString();
    }

    private static <T> void append(StringBuilder text, SectionKind<T> kind, T value) {
        text.append('[')
                .append(kind.word())
                .append(' ')
                .append(kind.name(value))
                .append("]\n");
        kind.write(
                value,
                (key, entry) -> text.append(key).append(" = ").append(entry).append('\n'));
        text.append('\n');
    }
}
