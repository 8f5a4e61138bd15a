package org.dotterelcourse.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** {@code [upstream NAME]}: an upstream, without its workers. */
final class UpstreamSection implements SectionKind<Upstream> {
    static final String KIND = "kind";
    static final String REGION = "region";
    static final String FENCING = "fencing";
    static final String CONCURRENCY = "concurrency";

    private static final long MOST_CONCURRENCY = 100_000;

    @Override
    public String word() {
        return "upstream";
    }

    @Override
    public List<String> keys() {
        return List.of(KIND, REGION, FENCING, CONCURRENCY);
    }

    @Override
    public Upstream read(SectionReader in) {
        Upstream.Kind kind = in.required(KIND, Value.oneOf(Upstream.Kind.class));
        String region = in.required(REGION, Value.NAMED);
        Upstream.Fencing fencing = in.optional(FENCING, Value.oneOf(Upstream.Fencing.class), Upstream.Fencing.IGNORED);
        int concurrency =
                in.required(CONCURRENCY, Value.integer(1, MOST_CONCURRENCY)).intValue();
        return new Upstream(in.name(), kind, region, fencing, concurrency, List.of());
    }

    @Override
    public Map<String, String> write(Upstream value) {
        Map<String, String> entries = new LinkedHashMap<>();
        entries.put(KIND, Value.word(value.kind()));
        entries.put(REGION, value.region());
        entries.put(FENCING, Value.word(value.fencing()));
        entries.put(CONCURRENCY, String.valueOf(value.concurrency()));
        return entries;
    }

    @Override
    public String name(Upstream value) {
        return value.name();
    }
}
