package org.dotterelcourse.configuration;

import java.util.List;
import java.util.function.BiConsumer;

/** Reads and writes {@code [customer NAME]} sections, which define customers. */
final class CustomerSection implements SectionKind<Customer> {
    static final String KEY_SHA256 = "key-sha256";
    static final String CLASSES = "classes";
    static final String DEFAULT_CLASS = "default-class";
    static final String REQUESTS_PER_SECOND = "requests-per-second";
    static final String TOKENS_PER_SECOND = "tokens-per-second";

    private static final ValueType<Double> RATE_TYPE = ValueType.decimal(0.001, 1_000_000_000);

    private static final List<String> KEYS =
            List.of(KEY_SHA256, CLASSES, DEFAULT_CLASS, REQUESTS_PER_SECOND, TOKENS_PER_SECOND);

    @Override
    public String kindName() {
        return "customer";
    }

    @Override
    public List<String> keys() {
        return KEYS;
    }

    @Override
    public Customer read(SectionReader in) {
        return new Customer(
                in.name(),
                in.required(KEY_SHA256, ValueType.DIGEST),
                in.required(CLASSES, ValueType.NAMES),
                in.required(DEFAULT_CLASS, ValueType.NAME),
                in.required(REQUESTS_PER_SECOND, RATE_TYPE),
                in.required(TOKENS_PER_SECOND, RATE_TYPE));
    }

    @Override
    public void write(Customer value, BiConsumer<String, String> entries) {
        entries.accept(KEY_SHA256, value.keySha256());
        entries.accept(CLASSES, String.join(", ", value.classes()));
        entries.accept(DEFAULT_CLASS, value.defaultClass());
        entries.accept(REQUESTS_PER_SECOND, Decimals.text(value.requestsPerSecond()));
        entries.accept(TOKENS_PER_SECOND, Decimals.text(value.tokensPerSecond()));
    }

    @Override
    public String name(Customer value) {
        return value.name();
    }
}
