package org.dotterelcourse.configuration;

import java.util.List;
import java.util.function.BiConsumer;

/** Reads and writes {@code [class NAME]} sections, which define request classes. */
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

    private static final ValueType<Long> TIER_TYPE = ValueType.integer(1, 4);
    private static final ValueType<Long> TARGET_TYPE = ValueType.integer(1, 86_400_000);
    private static final ValueType<Long> TOKEN_INTERVAL_TYPE = ValueType.integer(0, 60_000);
    private static final ValueType<Double> MINIMUM_SHARE_TYPE = ValueType.decimal(0, 1);
    private static final ValueType<Long> MAX_WAITING_TYPE = ValueType.integer(1, 1_000_000);
    private static final ValueType<Long> MAX_OUTPUT_TOKENS_TYPE = ValueType.integer(1, 1_000_000);
    private static final long DEFAULT_MAX_WAITING = 1_000;
    private static final long DEFAULT_MAX_OUTPUT_TOKENS = 1_024;

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
    public String kindName() {
        return "class";
    }

    @Override
    public List<String> keys() {
        return KEYS;
    }

    @Override
    public RequestClass read(SectionReader in) {
        String upstream = in.required(UPSTREAM, ValueType.NAME);
        String model = in.optional(MODEL, ValueType.MODEL_NAME, "");
        String version = in.optional(VERSION, ValueType.MODEL_NAME, "");
        int tier = in.required(TIER, TIER_TYPE).intValue();
        long targetMillis = in.required(TARGET, TARGET_TYPE);
        long tokenIntervalMillis = in.optional(TOKEN_INTERVAL, TOKEN_INTERVAL_TYPE, 0L);
        boolean idempotent = in.required(IDEMPOTENT, ValueType.BOOLEAN);
        boolean lateIsUseless = in.optional(LATE_IS_USELESS, ValueType.BOOLEAN, false);
        double minimumShare = in.optional(MINIMUM_SHARE, MINIMUM_SHARE_TYPE, 0.0);
        long maxWaiting = in.optional(MAX_WAITING, MAX_WAITING_TYPE, DEFAULT_MAX_WAITING);
        long defaultMaxOutputTokens = model.isEmpty() ? 1 : DEFAULT_MAX_OUTPUT_TOKENS;
        long maxOutputTokens = in.optional(MAX_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS_TYPE, defaultMaxOutputTokens);
        return new RequestClass(
                in.name(),
                upstream,
                model,
                version,
                tier,
                targetMillis,
                tokenIntervalMillis,
                idempotent,
                lateIsUseless,
                minimumShare,
                (int) maxWaiting,
                (int) maxOutputTokens);
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
