package org.dotterelcourse.configuration;

import java.util.List;
import java.util.function.BiConsumer;

/** Reads and writes {@code [upstream NAME]} sections, which define upstreams without their workers. */
final class UpstreamSection implements SectionKind<Upstream> {
    static final String KIND = "kind";
    static final String REGION = "region";
    static final String FENCING = "fencing";
    static final String CONCURRENCY = "concurrency";
    static final String LOADS_PER_MINUTE = "loads-per-minute";

    private static final ValueType<Upstream.Kind> KIND_TYPE = ValueType.oneOf(Upstream.Kind.class);
    private static final ValueType<Upstream.Fencing> FENCING_TYPE = ValueType.oneOf(Upstream.Fencing.class);
    private static final ValueType<Long> CONCURRENCY_TYPE = ValueType.integer(1, 100_000);
    private static final ValueType<Long> LOADS_PER_MINUTE_TYPE = ValueType.integer(0, 10_000);
    private static final long DEFAULT_LOADS_PER_MINUTE = 6;

    private static final List<String> KEYS = List.of(KIND, REGION, FENCING, CONCURRENCY, LOADS_PER_MINUTE);

    @Override
    public String kindName() {
        return "upstream";
    }

    @Override
    public List<String> keys() {
        return KEYS;
    }

    @Override
    public Upstream read(SectionReader in) {
        Upstream.Kind kind = in.required(KIND, KIND_TYPE);
        String region = in.required(REGION, ValueType.NAME);
        Upstream.Fencing fencing = in.optional(FENCING, FENCING_TYPE, Upstream.Fencing.IGNORED);
        int concurrency = in.required(CONCURRENCY, CONCURRENCY_TYPE).intValue();
        long defaultLoadsPerMinute = kind == Upstream.Kind.ENGINE ? DEFAULT_LOADS_PER_MINUTE : 0;
        int loadsPerMinute = in.optional(LOADS_PER_MINUTE, LOADS_PER_MINUTE_TYPE, defaultLoadsPerMinute)
                .intValue();
        if (kind == Upstream.Kind.SERVICE && loadsPerMinute != 0) {
            in.add(LOADS_PER_MINUTE, "0 for a plain service", String.valueOf(loadsPerMinute));
        }
        return new Upstream(in.name(), kind, region, fencing, concurrency, loadsPerMinute, List.of());
    }

    @Override
    public void write(Upstream value, BiConsumer<String, String> entries) {
        entries.accept(KIND, ValueType.lowerCaseName(value.kind()));
        entries.accept(REGION, value.region());
        entries.accept(FENCING, ValueType.lowerCaseName(value.fencing()));
        entries.accept(CONCURRENCY, String.valueOf(value.concurrency()));
        entries.accept(LOADS_PER_MINUTE, String.valueOf(value.loadsPerMinute()));
    }

    @Override
    public String name(Upstream value) {
        return value.name();
    }
}
