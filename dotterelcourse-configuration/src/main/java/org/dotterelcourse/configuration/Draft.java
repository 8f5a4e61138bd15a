package org.dotterelcourse.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A configuration that is being put together from sections, before it is checked as a whole. */
final class Draft {
    private final SectionRecords<RequestClass> classes = new SectionRecords<>(new ClassSection());
    private final SectionRecords<Customer> customers = new SectionRecords<>(new CustomerSection());
    private final SectionRecords<Upstream> upstreams = new SectionRecords<>(new UpstreamSection());
    private final SectionRecords<PlacedWorker> workers = new SectionRecords<>(new WorkerSection());
    private final Map<String, SectionRecords<?>> byWord = new LinkedHashMap<>();
    private Configuration base;

    Draft() {
        byWord.put(new ClassSection().word(), classes);
        byWord.put(new CustomerSection().word(), customers);
        byWord.put(new UpstreamSection().word(), upstreams);
        byWord.put(new WorkerSection().word(), workers);
    }

    /**
     * Starts from what is in force.
     *
     * @param base the configuration
     * @return a draft with its content
     */
    static Draft of(Configuration base) {
        Draft draft = new Draft();
        draft.base = base;
        draft.classes.startFrom(base.classes());
        draft.customers.startFrom(base.customers());
        draft.upstreams.startFrom(base.upstreams());
        List<PlacedWorker> placed = new ArrayList<>();
        for (Upstream upstream : base.upstreams()) {
            upstream.workers().forEach(each -> placed.add(new PlacedWorker(upstream.name(), each)));
        }
        draft.workers.startFrom(placed);
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

    SectionRecords<PlacedWorker> workers() {
        return workers;
    }

    /**
     * The records of a kind.
     *
     * @param word the kind's word
     * @return the records, or null if there is no such kind
     */
    SectionRecords<?> ofKind(String word) {
        return byWord.get(word);
    }

    /**
     * The words of all kinds of section.
     *
     * @return the words
     */
    List<String> words() {
        return List.copyOf(byWord.keySet());
    }

    /**
     * Makes the configuration. To be called only when the draft has been checked.
     *
     * @param number its number
     * @return the configuration with its digest
     */
    Configuration build(long number) {
        Configuration content =
                new Configuration(number, "", classes.sorted(), customers.sorted(), upstreamsWithWorkers());
        return ConfigurationText.withDigest(content, base);
    }

    private List<Upstream> upstreamsWithWorkers() {
        Map<String, List<Worker>> workersOf = new HashMap<>();
        for (PlacedWorker placed : workers.sorted()) {
            workersOf
                    .computeIfAbsent(placed.upstream(), name -> new ArrayList<>())
                    .add(placed.worker());
        }
        List<Upstream> complete = new ArrayList<>();
        for (Upstream upstream : upstreams.sorted()) {
            List<Worker> own = new ArrayList<>(workersOf.getOrDefault(upstream.name(), List.of()));
            own.sort(Comparator.comparing(Worker::name));
            complete.add(withWorkers(upstream, List.copyOf(own)));
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
