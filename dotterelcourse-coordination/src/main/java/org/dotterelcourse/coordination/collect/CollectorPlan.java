package org.dotterelcourse.coordination.collect;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.ownership.Rendezvous;

/**
 * Assigns, by rendezvous hashing, which processes aggregate the reports of others (collectors), which read published
 * data on behalf of the fleet (readers) and which forward it within their data centre (relays).
 *
 * <p>Without collectors, n processes that report to one another send n² messages a period: 8,400 a second with 59
 * processes and a period of 0.4 s. Above a certain size of the fleet, the processes of each data centre therefore report
 * to a collector in it; collectors exchange their sums, and each sends the fleet's sums to its reporters. There is no
 * election: each process computes the plan from its membership view, so processes with the same view agree, and a lost
 * process is replaced by the next in the order. While views differ, a report may reach a process that is not a collector
 * in its own view; that process must answer it all the same.
 */
public final class CollectorPlan {
    /**
     * Largest fleet in which each process reports to all others directly. This takes one hop instead of three, and at
     * most 11 messages a process and period.
     */
    public static final int MAX_DIRECT_PROCESSES = 12;

    /**
     * Number of processes for each collector. At ten reports a second each and as many answers, a collector handles 640
     * messages a second, a twentieth of a core at 75 µs for each message between daemons.
     */
    static final int PROCESSES_PER_COLLECTOR = 32;

    private static final int MAX_READERS = 2;
    private static final String COLLECTOR_KEY = "gathers";
    private static final String READER_KEY = "reads";

    private final String self;
    private final int size;
    private final Map<String, List<String>> collectorsByDataCentre = new TreeMap<>();
    private final Map<String, List<String>> collectorOrderByDataCentre = new TreeMap<>();
    private final Map<String, String> relaysByDataCentre = new TreeMap<>();
    private final List<String> readerCandidates;
    private final List<String> collectorCandidates;
    private final String dataCentre;

    private CollectorPlan(String self, List<Member> members) {
        this.self = self;
        this.size = members.size();
        this.dataCentre = dataCentreOf(self, members);
        Map<String, List<String>> namesByDataCentre = new TreeMap<>();
        for (Member member : members) {
            namesByDataCentre
                    .computeIfAbsent(member.payload().dataCentre(), key -> new ArrayList<>())
                    .add(member.name());
        }
        namesByDataCentre.forEach(this::planDataCentre);
        readerCandidates = readerCandidates(members);
        collectorCandidates = collectorCandidates();
    }

    /** The collectors of this data centre in rendezvous order for this process, then its other processes. */
    private List<String> collectorCandidates() {
        if (isDirect() || isCollector()) {
            return List.of();
        }
        List<String> collectors = collectorsByDataCentre.getOrDefault(dataCentre, List.of());
        Set<String> candidates = new LinkedHashSet<>(Rendezvous.order(self, collectors));
        candidates.addAll(collectorOrderByDataCentre.getOrDefault(dataCentre, List.of()));
        candidates.remove(self);
        return List.copyOf(candidates);
    }

    /** Puts the relays first, so that the first two candidates are in different data centres. */
    private List<String> readerCandidates(List<Member> members) {
        List<String> order = new ArrayList<>(Rendezvous.order(READER_KEY, relaysByDataCentre.values()));
        List<String> others = members.stream()
                .map(Member::name)
                .filter(name -> !relaysByDataCentre.containsValue(name))
                .toList();
        order.addAll(Rendezvous.order(READER_KEY, others));
        return List.copyOf(order);
    }

    /**
     * Computes the plan of a process.
     *
     * @param self the name of this process
     * @param view its membership view, itself included; other members count only while they are alive
     * @return the plan
     */
    public static CollectorPlan of(String self, List<Member> view) {
        List<Member> eligible = view.stream()
                .filter(member -> member.name().equals(self) || member.state() == MemberState.ALIVE)
                .toList();
        return new CollectorPlan(self, eligible);
    }

    private static String dataCentreOf(String self, List<Member> members) {
        return members.stream()
                .filter(member -> member.name().equals(self))
                .map(member -> member.payload().dataCentre())
                .findFirst()
                .orElse("");
    }

    private void planDataCentre(String plannedDataCentre, List<String> names) {
        List<String> order = Rendezvous.order(COLLECTOR_KEY + plannedDataCentre, names);
        int collectors = (names.size() + PROCESSES_PER_COLLECTOR - 1) / PROCESSES_PER_COLLECTOR;
        collectorOrderByDataCentre.put(plannedDataCentre, order);
        collectorsByDataCentre.put(plannedDataCentre, List.copyOf(order.subList(0, collectors)));
        relaysByDataCentre.put(
                plannedDataCentre,
                Rendezvous.order(READER_KEY + plannedDataCentre, names).get(0));
    }

    /**
     * Returns whether the fleet is small enough for each process to report to all others directly.
     *
     * @return true up to {@link #MAX_DIRECT_PROCESSES} processes
     */
    public boolean isDirect() {
        return size <= MAX_DIRECT_PROCESSES;
    }

    /**
     * Returns whether this process is a collector.
     *
     * @return true if it aggregates reports; always false if {@link #isDirect()}
     */
    public boolean isCollector() {
        return !isDirect()
                && collectorsByDataCentre.getOrDefault(dataCentre, List.of()).contains(self);
    }

    /**
     * Returns the collectors other than this process.
     *
     * @return names of the collectors in all data centres; empty if {@link #isDirect()}
     */
    public List<String> otherCollectors() {
        if (isDirect()) {
            return List.of();
        }
        return collectorsByDataCentre.values().stream()
                .flatMap(List::stream)
                .filter(name -> !name.equals(self))
                .toList();
    }

    /**
     * Returns the collector that this process reports to. The collectors of its data centre are candidates in rendezvous
     * order for the name of this process, followed by the other processes of the data centre.
     *
     * @param excluded names of collectors that did not answer recently
     * @return the first candidate that is not excluded; empty if there is none, if this process is a collector, or if
     *     {@link #isDirect()}
     */
    public Optional<String> collector(Set<String> excluded) {
        for (String candidate : collectorCandidates) {
            if (!excluded.contains(candidate)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether two views lead to the same plan, and no member has started in between, which knows nothing of before.
     *
     * @param before a membership view
     * @param after another membership view
     * @return true if identities, states and data centres are equal, in the same order
     */
    public static boolean isSame(List<Member> before, List<Member> after) {
        if (before.size() != after.size()) {
            return false;
        }
        for (int i = 0; i < before.size(); i++) {
            Member one = before.get(i);
            Member other = after.get(i);
            boolean isEqual = one == other
                    || one.state() == other.state()
                            && one.id().equals(other.id())
                            && one.payload().dataCentre().equals(other.payload().dataCentre());
            if (!isEqual) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the candidates for reading published data on behalf of the fleet, in order of preference.
     *
     * @return names of all eligible processes, with the relay of each data centre before all others
     */
    public List<String> readerCandidates() {
        return readerCandidates;
    }

    /**
     * Returns how many processes read published data on behalf of the fleet. There is a second reader in another data
     * centre, so that the loss of a VM or a data centre causes no delay.
     *
     * @return 2, or 1 if there is only one data centre
     */
    public int readerCount() {
        return Math.min(MAX_READERS, Math.max(1, relaysByDataCentre.size()));
    }

    /**
     * Returns whether this process forwards data read by other processes within its data centre.
     *
     * @return true for exactly one process of each data centre
     */
    public boolean isRelay() {
        return self.equals(relaysByDataCentre.get(dataCentre));
    }

    /**
     * Returns the relays that forward data read by this process.
     *
     * @return names of the relays, one for each other data centre
     */
    public List<String> otherRelays() {
        return relaysByDataCentre.entrySet().stream()
                .filter(relay -> !relay.getKey().equals(dataCentre))
                .map(Map.Entry::getValue)
                .toList();
    }
}
