package org.dotterelcourse.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Compares two configurations key by key. */
public final class ConfigurationDifference {
    private ConfigurationDifference() {}

    /**
     * Compares two configurations, ignoring their numbers.
     *
     * @param before the configuration in force
     * @param after the proposed configuration
     * @return the keys with different values, in the order of the canonical text
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
        Map<String, T> beforeByName = byName(kind, before);
        Map<String, T> afterByName = byName(kind, after);
        Set<String> names = new LinkedHashSet<>(beforeByName.keySet());
        names.addAll(afterByName.keySet());
        for (String name : names) {
            T oldValue = beforeByName.get(name);
            T newValue = afterByName.get(name);
            boolean same = oldValue != null && oldValue.equals(newValue);
            if (!same) {
                compareKeys(kind, name, entries(kind, oldValue), entries(kind, newValue), changes);
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
            String oldValue = before.getOrDefault(key, "");
            String newValue = after.getOrDefault(key, "");
            if (!oldValue.equals(newValue)) {
                changes.add(new Change(kind.kindName() + " " + name, key, oldValue, newValue));
            }
        }
    }

    private static <T> Map<String, T> byName(SectionKind<T> kind, List<T> records) {
        Map<String, T> byName = new LinkedHashMap<>();
        records.forEach(each -> byName.put(kind.name(each), each));
        return byName;
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

    private static List<UpstreamWorker> workers(Configuration configuration) {
        return configuration.upstreams().stream()
                .flatMap(upstream -> upstream.workers().stream().map(each -> new UpstreamWorker(upstream.name(), each)))
                .toList();
    }
}
