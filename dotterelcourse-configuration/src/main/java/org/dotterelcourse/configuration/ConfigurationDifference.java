package org.dotterelcourse.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds what differs between two configurations, key by key. */
public final class ConfigurationDifference {
    private ConfigurationDifference() {}

    /**
     * Compares two configurations. Their numbers have no part in it.
     *
     * @param before the one in force
     * @param after the one that would be
     * @return the changes, in the order of the canonical text
     */
    public static List<Change> between(Configuration before, Configuration after) {
        List<Change> changes = new ArrayList<>();
        compare(new ClassSection(), before.classes(), after.classes(), changes);
        compare(new CustomerSection(), before.customers(), after.customers(), changes);
        compare(new UpstreamSection(), withoutWorkers(before), withoutWorkers(after), changes);
        compare(new WorkerSection(), workers(before), workers(after), changes);
        return changes;
    }

    private static <T> void compare(SectionKind<T> kind, List<T> before, List<T> after, List<Change> changes) {
        Map<String, T> old = byName(kind, before);
        Map<String, T> current = byName(kind, after);
        Set<String> names = new LinkedHashSet<>(old.keySet());
        names.addAll(current.keySet());
        for (String name : names) {
            T left = old.get(name);
            T right = current.get(name);
            boolean same = left != null && left.equals(right);
            if (!same) {
                compareKeys(kind, name, entries(kind, left), entries(kind, right), changes);
            }
        }
    }

    private static <T> void compareKeys(
            SectionKind<T> kind,
            String name,
            Map<String, String> before,
            Map<String, String> after,
            List<Change> changes) {
        for (String key : kind.keys()) {
            String left = before.getOrDefault(key, "");
            String right = after.getOrDefault(key, "");
            if (!left.equals(right)) {
                changes.add(new Change(kind.word() + " " + name, key, left, right));
            }
        }
    }

    private static <T> Map<String, T> byName(SectionKind<T> kind, List<T> records) {
        Map<String, T> map = new LinkedHashMap<>();
        records.forEach(each -> map.put(kind.name(each), each));
        return map;
    }

    private static <T> Map<String, String> entries(SectionKind<T> kind, T value) {
        Map<String, String> entries = new HashMap<>();
        if (value != null) {
            kind.write(value, entries::put);
        }
        return entries;
    }

    private static List<Upstream> withoutWorkers(Configuration configuration) {
        return configuration.upstreams().stream()
                .map(each -> Draft.withWorkers(each, List.of()))
                .toList();
    }

    private static List<PlacedWorker> workers(Configuration configuration) {
        return configuration.upstreams().stream()
                .flatMap(upstream -> upstream.workers().stream().map(each -> new PlacedWorker(upstream.name(), each)))
                .toList();
    }
}
