package org.dotterelcourse.configuration;

import java.util.List;
import java.util.function.BiConsumer;

/** Reads and writes {@code [worker NAME]} sections, which assign workers to upstreams. */
final class WorkerSection implements SectionKind<UpstreamWorker> {
    static final String UPSTREAM = "upstream";
    static final String ADDRESS = "address";
    static final String DATA_CENTRE = "data-centre";
    static final String LEAVING = "leaving";

    private static final List<String> KEYS = List.of(UPSTREAM, ADDRESS, DATA_CENTRE, LEAVING);

    @Override
    public String kindName() {
        return "worker";
    }

    @Override
    public List<String> keys() {
        return KEYS;
    }

    @Override
    public UpstreamWorker read(SectionReader in) {
        String upstream = in.required(UPSTREAM, ValueType.NAME);
        String address = in.required(ADDRESS, ValueType.ADDRESS);
        String dataCentre = in.required(DATA_CENTRE, ValueType.NAME);
        boolean leaving = in.optional(LEAVING, ValueType.BOOLEAN, false);
        return new UpstreamWorker(upstream, new Worker(in.name(), address, dataCentre, leaving));
    }

    @Override
    public void write(UpstreamWorker value, BiConsumer<String, String> entries) {
        entries.accept(UPSTREAM, value.upstream());
        entries.accept(ADDRESS, value.worker().address());
        entries.accept(DATA_CENTRE, value.worker().dataCentre());
        entries.accept(LEAVING, String.valueOf(value.worker().leaving()));
    }

    @Override
    public String name(UpstreamWorker value) {
        return value.worker().name();
    }
}
