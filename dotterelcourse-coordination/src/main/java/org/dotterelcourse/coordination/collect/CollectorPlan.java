package org.dotterelcourse.coordination.collect;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.ownership.Rendezvous;

/**
 * Which process gathers whose reports, and which processes read what is published on behalf of the others and pass it on.
 *
 * <p>It answers the growth of a fleet: when each of n processes tells each other one, n² messages pass in each period,
 * 8,400 a second with 59 processes that speak each 0.4 s. So above a size, the processes of each
 * data centre report to one collector among them; collectors tell each other their sums, and their reporters everything.
 * Nothing is elected: each process works the plan out from the members that it knows, by rendezvous hashing, so that
 * processes with the same view agree and one that is lost is replaced by the next in the order. Where views differ for a
 * while, a report may reach a process that isn't a collector by its own view; it answers all the same.
 */
public final class CollectorPlan {
    /**
     * Up to this many processes each tells all others directly: one hop in place of three, and no more than
     * 11 messages a process and period.
     */
    public static final int MOST_DIRECT = 12;

    /**
     * Reporters of one collector. At ten reports a second each, with as many answers, this is 640 messages a second, a
     * twentieth of a core at the 75 µs that a message between daemons took.
     */
    static final int MOST_REPORTERS = 32;

    private static final int MOST_READERS = 2;
    private static final String GATHERS = "gathers";
    private static final String READS = "reads";

    private final String self;
    private final int size;
    private final Map<String, List<String>> collectorsByDataCentre = new TreeMap<>();
    private final Map<String, List<String>> orderByDataCentre = new TreeMap<>();
    private final Map<String, String> relays = new TreeMap<>();
    private final List<String> readerCandidates;
    private final String dataCentre;

    private CollectorPlan(String self, List<Member> members) {
        this.self = self;
        this.size = members.size();
        this.dataCentre = dataCentreOf(self, members);
        Map<String, List<String>> names = new TreeMap<>();
        for (Member member : members) {
            names.computeIfAbsent(member.payload().dataCentre(), each -> new ArrayList<>())
                    .add(member.name());
        }
        names.forEach(this::plan);
        readerCandidates = readerCandidates(members);
    }

    /** The relays come first, so that the first two stand in two data centres. */
    private List<String> readerCandidates(List<Member> members) {
        List<String> order = new ArrayList<>(Rendezvous.order(READS, relays.values()));
        List<String> others = members.stream()
                .map(Member::name)
                .filter(name -> !relays.containsValue(name))
                .toList();
        order.addAll(Rendezvous.order(READS, others));
        return List.copyOf(order);
    }

    /**
     * Works the plan out.
     *
     * @param self the name of this process
     * @param view all members that it knows, itself included
     * @return the plan
     */
    public static CollectorPlan of(String self, List<Member> view) {
        List<Member> usable = view.stream()
                .filter(member -> member.name().equals(self) || member.state() == MemberState.ALIVE)
                .toList();
        return new CollectorPlan(self, usable);
    }

    private static String dataCentreOf(String self, List<Member> members) {
        return members.stream()
                .filter(member -> member.name().equals(self))
                .map(member -> member.payload().dataCentre())
                .findFirst()
                .orElse("");
    }

    private void plan(String place, List<String> names) {
        List<String> order = Rendezvous.order(GATHERS + place, names);
        int collectors = (names.size() + MOST_REPORTERS - 1) / MOST_REPORTERS;
        orderByDataCentre.put(place, order);
        collectorsByDataCentre.put(place, List.copyOf(order.subList(0, collectors)));
        relays.put(place, Rendezvous.order(READS + place, names).get(0));
    }

    /**
     * Whether the fleet is small enough for each process to tell all others directly.
     *
     * @return true up to {@link #MOST_DIRECT} processes
     */
    public boolean isDirect() {
        return size <= MOST_DIRECT;
    }

    /**
     * Whether this process gathers reports.
     *
     * @return false in a small fleet
     */
    public boolean isCollector() {
        return !isDirect()
                && collectorsByDataCentre.getOrDefault(dataCentre, List.of()).contains(self);
    }

    /**
     * The collectors besides this process.
     *
     * @return names, of all data centres; empty in a small fleet
     */
    public List<String> otherCollectors() {
        if (isDirect()) {
            return List.of();
        }
        return collectorsByDataCentre.values().stream()
                .flatMap(List::stream)
                .filter(each -> !each.equals(self))
                .toList();
    }

    /**
     * The collector that this process reports to: one of its data centre, by its own name, or the next in the order if
     * that one is to be avoided.
     *
     * @param avoided names of collectors that were silent lately
     * @return empty if this process is a collector itself or there is nobody to report to
     */
    public Optional<String> collector(Set<String> avoided) {
        if (isDirect() || isCollector()) {
            return Optional.empty();
        }
        List<String> collectors = collectorsByDataCentre.getOrDefault(dataCentre, List.of());
        List<String> wanted = new ArrayList<>(Rendezvous.order(self, collectors));
        orderByDataCentre.getOrDefault(dataCentre, List.of()).stream()
                .filter(each -> !wanted.contains(each) && !each.equals(self))
                .forEach(wanted::add);
        return wanted.stream().filter(each -> !avoided.contains(each)).findFirst();
    }

    /**
     * The order in which processes come into question to read what is published on behalf of the others.
     *
     * @return the names of all, the first of each data centre before the rest
     */
    public List<String> readerCandidates() {
        return readerCandidates;
    }

    /**
     * How many processes are to read on behalf of the others: a second one, in another data centre, so that the loss of
     * a VM or a data centre delays nothing.
     *
     * @return 1 if there is one data centre only
     */
    public int readerCount() {
        return Math.min(MOST_READERS, Math.max(1, relays.size()));
    }

    /**
     * Whether this process passes what others have read on to its data centre.
     *
     * @return true for one process of each data centre
     */
    public boolean isRelay() {
        return self.equals(relays.get(dataCentre));
    }

    /**
     * The processes that pass on what this one has read.
     *
     * @return one of each other data centre
     */
    public List<String> otherRelays() {
        return relays.entrySet().stream()
                .filter(relay -> !relay.getKey().equals(dataCentre))
                .map(Map.Entry::getValue)
                .toList();
    }
}
