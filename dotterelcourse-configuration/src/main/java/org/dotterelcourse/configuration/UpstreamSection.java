package org.dotterelcourse.configuration;

import java.util.List;
import java.util.function.BiConsumer;

/** {@code [upstream NAME]}: an upstream, without its workers. */
final class UpstreamSection implements SectionKind<Upstream> {
    static final String KIND = "kind";
    static final String REGION = "region";
    static final String FENCING = "fencing";
    static final String CONCURRENCY = "concurrency";
    static final String LOADS_PER_MINUTE = "loads-per-minute";

    private static final Value<Upstream.Kind> KIND_VALUE = Value.oneOf(Upstream.Kind.class);
    private static final Value<Upstream.Fencing> FENCING_VALUE = Value.oneOf(Upstream.Fencing.class);
    private static final Value<Long> CONCURRENCY_VALUE = Value.integer(1, 100_000);
    private static final Value<Long> LOADS = Value.integer(0, 10_000);
    private static final long DEFAULT_LOADS_PER_MINUTE = 6;

    private static final List<String> KEYS = List.of(KIND, REGION, FENCING, CONCURRENCY, LOADS_PER_MINUTE);

    @Override
    public String word() {
        return "upstream";
    }

    @Override
    public List<String> keys() {
        return KEYS;
    }

    @Override
    public Upstream read(SectionReader in) {
        Upstream.Kind kind = in.required(KIND, KIND_VALUE);
        String region = in.required(REGION, Value.NAMED);
        Upstream.Fencing fencing = in.optional(FENCING, FENCING_VALUE, Upstream.Fencing.IGNORED);
        int concurrency = in.required(CONCURRENCY, CONCURRENCY_VALUE).intValue();
        long usual = kind == Upstream.Kind.ENGINE ? DEFAULT_LOADS_PER_MINUTE : 0;
        int loads = in.optional(LOADS_PER_MINUTE, LOADS, usual).intValue();
        if (kind == Upstream.Kind.SERVICE && loads != 0) {
            in.add(LOADS_PER_MINUTE, "0 for a plain service", String.valueOf(loads));
        }
        return new Upstream(in.name(), kind, region, fencing, concurrency, loads, List.of());
    }

    @Override
    public void write(Upstream value, BiConsumer<String, String> entries) {
        entries.accept(KIND, Value.word(value.kind()));
        entries.accept(REGION, value.region());
        entries.accept(FENCING, Value.word(value.fencing()));
        entries.accept(CONCURRENCY, String.valueOf(value.concurrency()));
        entries.accept(LOADS_PER_MINUTE, String.valueOf(value.loadsPerMinute()));
    }

    @Override
    public String name(Upstream value) {
        return value.name();
    }
}
