package org.dotterelcourse.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A mutable configuration assembled from sections, before it is validated as a whole. */
final class Draft {
    private final SectionRecords<RequestClass> classes = new SectionRecords<>(new ClassSection());
    private final SectionRecords<Customer> customers = new SectionRecords<>(new CustomerSection());
    private final SectionRecords<Upstream> upstreams = new SectionRecords<>(new UpstreamSection());
    private final SectionRecords<UpstreamWorker> workers = new SectionRecords<>(new WorkerSection());
    private final Map<String, SectionRecords<?>> byKindName = new LinkedHashMap<>();
    private Configuration base;

    Draft() {
        byKindName.put(new ClassSection().kindName(), classes);
        byKindName.put(new CustomerSection().kindName(), customers);
        byKindName.put(new UpstreamSection().kindName(), upstreams);
        byKindName.put(new WorkerSection().kindName(), workers);
    }

    /**
     * Creates a draft with the content of an existing configuration.
     *
     * @param base the configuration to start from
     * @return a draft with the same content
     */
    static Draft of(Configuration base) {
        Draft draft = new Draft();
        draft.base = base;
        draft.classes.startFrom(base.classes());
        draft.customers.startFrom(base.customers());
        draft.upstreams.startFrom(base.upstreams());
        List<UpstreamWorker> upstreamWorkers = new ArrayList<>();
        for (Upstream upstream : base.upstreams()) {
            upstream.workers().forEach(each -> upstreamWorkers.add(new UpstreamWorker(upstream.name(), each)));
        }
        draft.workers.startFrom(upstreamWorkers);
        return draft;
    }

    SectionRecords<RequestClass> classes() {
        return classes;
    }

    SectionRecords<Customer> customers() {
        return customers;
    }

    SectionRecords<Upstream> upstreams() {
        return upstreams;
    }

    SectionRecords<UpstreamWorker> workers() {
        return workers;
    }

    /**
     * Finds the records of one kind of section.
     *
     * @param kindName the name of the section kind, for example {@code class}
     * @return the records, or null if the kind is unknown
     */
    SectionRecords<?> ofKind(String kindName) {
        return byKindName.get(kindName);
    }

    /**
     * Lists the names of all section kinds.
     *
     * @return the kind names in canonical order
     */
    List<String> kindNames() {
        return List.copyOf(byKindName.keySet());
    }

    /**
     * Builds the configuration. The draft must have been validated without findings.
     *
     * @param number the publication number of the configuration
     * @return the configuration with its digest
     */
    Configuration build(long number) {
        Configuration content =
                new Configuration(number, "", classes.sorted(), customers.sorted(), upstreamsWithWorkers());
        return ConfigurationText.withDigest(content, base);
    }

    private List<Upstream> upstreamsWithWorkers() {
        Map<String, List<Worker>> workersByUpstream = new HashMap<>();
        for (UpstreamWorker each : workers.sorted()) {
            workersByUpstream
                    .computeIfAbsent(each.upstream(), name -> new ArrayList<>())
                    .add(each.worker());
        }
        List<Upstream> complete = new ArrayList<>();
        for (Upstream upstream : upstreams.sorted()) {
            List<Worker> ownWorkers = new ArrayList<>(workersByUpstream.getOrDefault(upstream.name(), List.of()));
            ownWorkers.sort(Comparator.comparing(Worker::name));
            complete.add(withWorkers(upstream, List.copyOf(ownWorkers)));
        }
        return complete;
    }

    static Upstream withWorkers(Upstream upstream, List<Worker> workers) {
        return new Upstream(
                upstream.name(),
                upstream.kind(),
                upstream.region(),
                upstream.fencing(),
                upstream.concurrency(),
                upstream.loadsPerMinute(),
                workers);
    }
}
