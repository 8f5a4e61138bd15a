package org.dotterelcourse.configuration;

import java.util.List;
import java.util.function.BiConsumer;

/** {@code [class NAME]}: a request class. */
final class ClassSection implements SectionKind<RequestClass> {
    static final String UPSTREAM = "upstream";
    static final String MODEL = "model";
    static final String VERSION = "version";
    static final String TIER = "tier";
    static final String TARGET = "target-ms";
    static final String TOKEN_INTERVAL = "token-interval-ms";
    static final String IDEMPOTENT = "idempotent";
    static final String LATE_IS_USELESS = "late-is-useless";
    static final String MINIMUM_SHARE = "minimum-share";
    static final String MAX_WAITING = "max-waiting";
    static final String MAX_OUTPUT_TOKENS = "max-output-tokens";

    private static final Value<Long> TIER_VALUE = Value.integer(1, 4);
    private static final Value<Long> TARGET_MILLIS = Value.integer(1, 86_400_000);
    private static final Value<Long> INTERVAL_MILLIS = Value.integer(0, 60_000);
    private static final Value<Double> SHARE = Value.decimal(0, 1);
    private static final Value<Long> WAITING = Value.integer(1, 1_000_000);
    private static final Value<Long> TOKENS = Value.integer(1, 1_000_000);
    private static final long DEFAULT_WAITING = 1_000;
    private static final long DEFAULT_TOKENS = 1_024;

    private static final List<String> KEYS = List.of(
            UPSTREAM,
            MODEL,
            VERSION,
            TIER,
            TARGET,
            TOKEN_INTERVAL,
            IDEMPOTENT,
            LATE_IS_USELESS,
            MINIMUM_SHARE,
            MAX_WAITING,
            MAX_OUTPUT_TOKENS);

    @Override
    public String word() {
        return "class";
    }

    @Override
    public List<String> keys() {
        return KEYS;
    }

    @Override
    public RequestClass read(SectionReader in) {
        String upstream = in.required(UPSTREAM, Value.NAMED);
        String model = in.optional(MODEL, Value.MODEL_NAME, "");
        String version = in.optional(VERSION, Value.MODEL_NAME, "");
        int tier = in.required(TIER, TIER_VALUE).intValue();
        long target = in.required(TARGET, TARGET_MILLIS);
        long interval = in.optional(TOKEN_INTERVAL, INTERVAL_MILLIS, 0L);
        boolean idempotent = in.required(IDEMPOTENT, Value.BOOLEAN);
        boolean lateIsUseless = in.optional(LATE_IS_USELESS, Value.BOOLEAN, false);
        double share = in.optional(MINIMUM_SHARE, SHARE, 0.0);
        long waiting = in.optional(MAX_WAITING, WAITING, DEFAULT_WAITING);
        long fewest = model.isEmpty() ? 1 : DEFAULT_TOKENS;
        long tokens = in.optional(MAX_OUTPUT_TOKENS, TOKENS, fewest);
        return new RequestClass(
                in.name(),
                upstream,
                model,
                version,
                tier,
                target,
                interval,
                idempotent,
                lateIsUseless,
                share,
                (int) waiting,
                (int) tokens);
    }

    @Override
    public void write(RequestClass value, BiConsumer<String, String> entries) {
        entries.accept(UPSTREAM, value.upstream());
        if (!value.model().isEmpty()) {
            entries.accept(MODEL, value.model());
        }
        if (!value.version().isEmpty()) {
            entries.accept(VERSION, value.version());
        }
        entries.accept(TIER, String.valueOf(value.tier()));
        entries.accept(TARGET, String.valueOf(value.targetMillis()));
        entries.accept(TOKEN_INTERVAL, String.valueOf(value.tokenIntervalMillis()));
        entries.accept(IDEMPOTENT, String.valueOf(value.idempotent()));
        entries.accept(LATE_IS_USELESS, String.valueOf(value.lateIsUseless()));
        entries.accept(MINIMUM_SHARE, Decimals.text(value.minimumShare()));
        entries.accept(MAX_WAITING, String.valueOf(value.maxWaiting()));
        entries.accept(MAX_OUTPUT_TOKENS, String.valueOf(value.maxOutputTokens()));
    }

    @Override
    public String name(RequestClass value) {
        return value.name();
    }
}
