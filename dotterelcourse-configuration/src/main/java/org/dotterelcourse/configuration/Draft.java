package org.dotterelcourse.configuration;

import java.util.ArrayList;
import java.util.Collection;
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
        base.classes().forEach(draft.classes::put);
        base.customers().forEach(draft.customers::put);
        for (Upstream upstream : base.upstreams()) {
            draft.upstreams.put(upstream);
            upstream.workers().forEach(each -> draft.workers.put(new PlacedWorker(upstream.name(), each)));
        }
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
        Map<String, List<Worker>> workersOf = new HashMap<>();
        for (PlacedWorker placed : workers.byName().values()) {
            workersOf
                    .computeIfAbsent(placed.upstream(), name -> new ArrayList<>())
                    .add(placed.worker());
        }
        List<Upstream> complete = new ArrayList<>();
        for (Upstream upstream : upstreams.byName().values()) {
            List<Worker> own = workersOf.getOrDefault(upstream.name(), List.of());
            complete.add(withWorkers(upstream, sorted(own, Comparator.comparing(Worker::name))));
        }
        Configuration content = new Configuration(
                number,
                "",
                sorted(classes.byName().values(), Comparator.comparing(RequestClass::name)),
                sorted(customers.byName().values(), Comparator.comparing(Customer::name)),
                sorted(complete, Comparator.comparing(Upstream::name)));
        return new Configuration(
                number, ConfigurationText.digest(content), content.classes(), content.customers(), content.upstreams());
    }

    private static Upstream withWorkers(Upstream upstream, List<Worker> workers) {
        return new Upstream(
                upstream.name(),
                upstream.kind(),
                upstream.region(),
                upstream.fencing(),
                upstream.concurrency(),
                workers);
    }

    private static <T> List<T> sorted(Collection<T> values, Comparator<T> order) {
        return values.stream().sorted(order).toList();
    }
}
