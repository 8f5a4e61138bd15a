package org.dotterelcourse.configuration;

import java.util.List;
import java.util.function.BiConsumer;

/** {@code [worker NAME]}: a worker of an upstream. */
final class WorkerSection implements SectionKind<PlacedWorker> {
    static final String UPSTREAM = "upstream";
    static final String ADDRESS = "address";
    static final String DATA_CENTRE = "data-centre";
    static final String LEAVING = "leaving";

    private static final List<String> KEYS = List.of(UPSTREAM, ADDRESS, DATA_CENTRE, LEAVING);

    @Override
    public String word() {
        return "worker";
    }

    @Override
    public List<String> keys() {
        return KEYS;
    }

    @Override
    public PlacedWorker read(SectionReader in) {
        String upstream = in.required(UPSTREAM, Value.NAMED);
        String address = in.required(ADDRESS, Value.ADDRESS);
        String dataCentre = in.required(DATA_CENTRE, Value.NAMED);
        boolean leaving = in.optional(LEAVING, Value.BOOLEAN, false);
        return new PlacedWorker(upstream, new Worker(in.name(), address, dataCentre, leaving));
    }

    @Override
    public void write(PlacedWorker value, BiConsumer<String, String> entries) {
        entries.accept(UPSTREAM, value.upstream());
        entries.accept(ADDRESS, value.worker().address());
        entries.accept(DATA_CENTRE, value.worker().dataCentre());
        entries.accept(LEAVING, String.valueOf(value.worker().leaving()));
    }

    @Override
    public String name(PlacedWorker value) {
        return value.worker().name();
    }
}
