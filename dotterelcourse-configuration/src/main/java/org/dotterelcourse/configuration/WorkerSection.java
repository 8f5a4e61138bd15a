package org.dotterelcourse.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

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
    public Map<String, String> write(PlacedWorker value) {
        Map<String, String> entries = new LinkedHashMap<>();
        entries.put(UPSTREAM, value.upstream());
        entries.put(ADDRESS, value.worker().address());
        entries.put(DATA_CENTRE, value.worker().dataCentre());
        entries.put(LEAVING, String.valueOf(value.worker().leaving()));
        return entries;
    }

    @Override
    public String name(PlacedWorker value) {
        return value.worker().name();
    }
}
