package org.dotterelcourse.gateway.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dotterelcourse.gateway.fleet.ForwardingTree.Branch;
import org.dotterelcourse.gateway.fleet.ForwardingTree.Receiver;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ForwardingTreeTest {
    /** A process that has received the message, with the names in it and its distance from the first sender. */
    private record Delivery(Receiver to, List<String> forwardTo, int depth) {}

    // Guards against links that carry a large configuration more than about four times, and against processes that
    // never
    // receive it.
    @Property(tries = 300, seed = "11")
    void everyProcessReceivesTheMessageOnceAndSendsItAtMostFourTimes(
            @ForAll @IntRange(min = 1, max = 340) int processes, @ForAll @IntRange(min = 1, max = 7) int dataCentres) {
        List<Receiver> all = receivers(processes, dataCentres);
        List<Delivery> deliveries = deliver(all);
        assertThat(deliveries).extracting(Delivery::to).doesNotHaveDuplicates().hasSize(processes);
        assertThat(deliveries)
                .allSatisfy(delivery -> assertThat(branches(all, delivery.to(), delivery.forwardTo()))
                        .hasSizeLessThanOrEqualTo(4));
    }

    @Test
    void aLargeFleetIsReachedInFewSteps() {
        assertThat(deliver(receivers(22, 4))).allMatch(delivery -> delivery.depth() <= 4);
        assertThat(deliver(receivers(340, 7))).allMatch(delivery -> delivery.depth() <= 8);
    }

    // Guards against messages that cross between data centres several times, where links are slower.
    @Test
    void eachDataCentreGetsTheMessageOnceFromOutside() {
        Map<String, Integer> fromOutside = new HashMap<>();
        List<Receiver> all = receivers(65, 4);
        for (Delivery delivery : deliver(all)) {
            for (Branch branch : branches(all, delivery.to(), delivery.forwardTo())) {
                Receiver to = find(all, branch.name());
                if (!to.dataCentre().equals(delivery.to().dataCentre())) {
                    fromOutside.merge(to.dataCentre(), 1, Integer::sum);
                }
            }
        }
        assertThat(fromOutside).isEqualTo(Map.of("dc-1", 1, "dc-2", 1, "dc-3", 1));
    }

    // Guards against a message that a failed data centre, or failed processes of the own one, keep from processes that
    // could have forwarded it. The sender lists processes that do not respond last.
    @Test
    void aProcessThatDoesNotRespondLeadsNoBranchWithOthersThatDo() {
        List<Receiver> receivers = new ArrayList<>();
        List<String> responding = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            receivers.add(new Receiver("own-" + i, "dc-0"));
            receivers.add(new Receiver("third-" + i, "dc-3"));
            receivers.add(new Receiver("second-" + i, "dc-2"));
        }
        receivers.forEach(receiver -> responding.add(receiver.name()));
        for (int i = 6; i < 18; i++) {
            receivers.add(new Receiver("own-" + i, "dc-0"));
            receivers.add(new Receiver("first-" + i, "dc-1"));
        }
        assertThat(ForwardingTree.divide(receivers, "dc-0"))
                .extracting(Branch::name)
                .hasSize(4)
                .isSubsetOf(responding);
        assertThat(ForwardingTree.divide(receivers, "dc-4"))
                .extracting(Branch::name)
                .contains("own-0", "third-0", "second-0");
        List<Receiver> own = receivers.stream()
                .filter(receiver -> receiver.dataCentre().equals("dc-0"))
                .toList();
        assertThat(ForwardingTree.divide(own, "dc-0"))
                .extracting(Branch::name)
                .containsExactly("own-0", "own-1", "own-2");
    }

    private static List<Receiver> receivers(int count, int dataCentres) {
        List<Receiver> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Receiver("edge-" + i, "dc-" + i % dataCentres));
        }
        return all;
    }

    /** Sends a message from the first process to all others; the result contains the first one as well. */
    private static List<Delivery> deliver(List<Receiver> all) {
        List<Delivery> deliveries = new ArrayList<>();
        Deque<Delivery> pending = new ArrayDeque<>();
        pending.add(new Delivery(
                all.get(0),
                all.subList(1, all.size()).stream().map(Receiver::name).toList(),
                0));
        while (!pending.isEmpty()) {
            Delivery delivery = pending.remove();
            deliveries.add(delivery);
            for (Branch branch : branches(all, delivery.to(), delivery.forwardTo())) {
                pending.add(new Delivery(find(all, branch.name()), branch.forwardTo(), delivery.depth() + 1));
            }
        }
        return deliveries;
    }

    private static List<Branch> branches(List<Receiver> all, Receiver sender, List<String> forwardTo) {
        Set<String> names = Set.copyOf(forwardTo);
        return ForwardingTree.divide(
                all.stream().filter(receiver -> names.contains(receiver.name())).toList(), sender.dataCentre());
    }

    private static Receiver find(List<Receiver> all, String name) {
        return all.stream()
                .filter(receiver -> receiver.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
