package org.dotterelcourse.configuration;

import java.util.List;
import java.util.function.BiConsumer;

/** {@code [customer NAME]}: a customer. */
final class CustomerSection implements SectionKind<Customer> {
    static final String KEY_SHA256 = "key-sha256";
    static final String CLASSES = "classes";
    static final String DEFAULT_CLASS = "default-class";
    static final String REQUESTS_PER_SECOND = "requests-per-second";
    static final String TOKENS_PER_SECOND = "tokens-per-second";

    private static final Value<Double> RATE = Value.decimal(0.001, 1_000_000_000);

    private static final List<String> KEYS =
            List.of(KEY_SHA256, CLASSES, DEFAULT_CLASS, REQUESTS_PER_SECOND, TOKENS_PER_SECOND);

    @Override
    public String word() {
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
                in.required(KEY_SHA256, Value.DIGEST),
                in.required(CLASSES, Value.NAMES),
                in.required(DEFAULT_CLASS, Value.NAMED),
                in.required(REQUESTS_PER_SECOND, RATE),
                in.required(TOKENS_PER_SECOND, RATE));
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
