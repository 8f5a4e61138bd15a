package org.dotterelcourse.coordination.collect;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.membership.Payload;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CollectorPlanTest {
    private static final int DATA_CENTRES = 3;

    @Test
    void aSmallFleetHasNoCollectors() {
        List<Member> view = fleet(CollectorPlan.MAX_DIRECT_PROCESSES);
        CollectorPlan plan = CollectorPlan.of("vm-0", view);
        assertThat(plan.isDirect()).isTrue();
        assertThat(plan.isCollector()).isFalse();
        assertThat(plan.otherCollectors()).isEmpty();
        assertThat(plan.collector(Set.of())).isEmpty();
    }

    /** Guards against a new plan, which takes time in proportion to the fleet, for each load that a member publishes. */
    @Test
    void aViewInWhichOnlyPayloadsHaveChangedLeadsToTheSamePlan() {
        List<Member> before = fleet(86);
        assertThat(CollectorPlan.isSame(before, withMember(before, 3, "other load", MemberState.ALIVE)))
                .isTrue();
        assertThat(CollectorPlan.isSame(before, withMember(before, 3, "", MemberState.SUSPECT)))
                .isFalse();
        List<Member> restarted = new ArrayList<>(before);
        Member old = before.get(3);
        restarted.set(
                3,
                new Member(
                        new MemberId(old.name(), old.id().incarnation() + 1),
                        old.address(),
                        old.state(),
                        old.payload(),
                        1,
                        0));
        assertThat(CollectorPlan.isSame(before, restarted)).isFalse();
        assertThat(CollectorPlan.isSame(before, fleet(85))).isFalse();
    }

    private static List<Member> withMember(List<Member> view, int index, String clientAddress, MemberState state) {
        List<Member> changed = new ArrayList<>(view);
        Member member = view.get(index);
        Payload payload = new Payload(clientAddress, member.payload().dataCentre(), "region", 1, 0, 7);
        changed.set(index, new Member(member.id(), member.address(), state, payload, 2, 0));
        return changed;
    }

    // If a report reached no collector, the load of its process would be missing from all sums. If it reached two, it
    // would count twice.
    @Property(tries = 100, seed = "7")
    void everyReportReachesOneCollectorOfItsDataCentre(@ForAll @IntRange(min = 13, max = 400) int size) {
        List<Member> view = fleet(size);
        Set<String> collectors = new HashSet<>();
        Map<String, Integer> reporters = new HashMap<>();
        for (Member member : view) {
            CollectorPlan plan = CollectorPlan.of(member.name(), view);
            Optional<String> to = plan.collector(Set.of());
            assertThat(to.isPresent()).isEqualTo(!plan.isCollector());
            if (plan.isCollector()) {
                collectors.add(member.name());
            }
            to.ifPresent(name -> {
                assertThat(dataCentre(name, view)).isEqualTo(member.payload().dataCentre());
                reporters.merge(name, 1, Integer::sum);
            });
        }
        assertThat(collectors).containsAll(reporters.keySet());
        for (String collector : collectors) {
            List<String> others = CollectorPlan.of(collector, view).otherCollectors();
            assertThat(others).hasSize(collectors.size() - 1).doesNotContain(collector);
        }
        assertThat(reporters.values()).allMatch(count -> count <= 2 * CollectorPlan.PROCESSES_PER_COLLECTOR);
    }

    // A data centre is lost together with one reader. If the second reader were in the same data centre, no process
    // would read until the others have detected the loss.
    @Property(tries = 100, seed = "7")
    void allProcessesAgreeOnReadersAndTheFirstTwoAreInDifferentDataCentres(
            @ForAll @IntRange(min = 3, max = 200) int size) {
        List<Member> view = fleet(size);
        List<String> order = CollectorPlan.of("vm-0", view).readerCandidates();
        assertThat(order)
                .containsExactlyInAnyOrderElementsOf(
                        view.stream().map(Member::name).toList());
        assertThat(CollectorPlan.of("vm-0", view).readerCount()).isEqualTo(2);
        assertThat(dataCentre(order.get(0), view)).isNotEqualTo(dataCentre(order.get(1), view));
        for (Member member : view) {
            assertThat(CollectorPlan.of(member.name(), view).readerCandidates()).isEqualTo(order);
        }
    }

    @Test
    void aFleetOfOneDataCentreHasOneReader() {
        List<Member> view = fleet(30).stream()
                .filter(member -> member.payload().dataCentre().equals("dc-0"))
                .toList();
        assertThat(CollectorPlan.of("vm-0", view).readerCount()).isEqualTo(1);
    }

    // A reader sends the data to one relay in each other data centre, which forwards it. With two relays a data centre
    // would get all data twice, and with none it would not be updated.
    @Property(tries = 100, seed = "7")
    void eachDataCentreHasExactlyOneRelay(@ForAll @IntRange(min = 3, max = 200) int size) {
        List<Member> view = fleet(size);
        List<String> relays = view.stream()
                .map(Member::name)
                .filter(name -> CollectorPlan.of(name, view).isRelay())
                .toList();
        assertThat(relays.stream().map(name -> dataCentre(name, view)))
                .hasSize(DATA_CENTRES)
                .doesNotHaveDuplicates();
        for (Member member : view) {
            List<String> others = CollectorPlan.of(member.name(), view).otherRelays();
            assertThat(others).hasSize(DATA_CENTRES - 1);
            assertThat(relays).containsAll(others);
            assertThat(others.stream().map(name -> dataCentre(name, view)))
                    .doesNotContain(member.payload().dataCentre());
        }
    }

    // A collector is killed. Until the membership detects it, only its reporters get no answers, and their reports must
    // reach another process.
    @Test
    void aSilentCollectorIsReplacedByAnotherProcess() {
        List<Member> view = fleet(30);
        String reporter = view.stream()
                .map(Member::name)
                .filter(name -> !CollectorPlan.of(name, view).isCollector())
                .findFirst()
                .orElseThrow();
        CollectorPlan plan = CollectorPlan.of(reporter, view);
        String first = plan.collector(Set.of()).orElseThrow();
        String second = plan.collector(Set.of(first)).orElseThrow();
        assertThat(second).isNotEqualTo(first).isNotEqualTo(reporter);
        assertThat(dataCentre(second, view)).isEqualTo(dataCentre(first, view));
    }

    // A process that is no collector is lost. If other processes changed their collector, the sums of all would be
    // wrong for a second.
    @Test
    void lossOfAReporterChangesNoOtherCollectorAssignment() {
        List<Member> view = fleet(120);
        for (Member lost : view) {
            if (CollectorPlan.of(lost.name(), view).isCollector()) {
                continue;
            }
            List<Member> without = new ArrayList<>(view);
            without.remove(lost);
            for (Member member : without) {
                assertThat(CollectorPlan.of(member.name(), without).collector(Set.of()))
                        .isEqualTo(CollectorPlan.of(member.name(), view).collector(Set.of()));
            }
        }
    }

    @Test
    void leavingSuspectAndDeadMembersAreNotEligible() {
        List<Member> view = fleet(30);
        for (MemberState state : List.of(MemberState.LEAVING, MemberState.SUSPECT, MemberState.DEAD)) {
            List<Member> changed =
                    view.stream().map(member -> withState(member, state)).toList();
            CollectorPlan plan = CollectorPlan.of("vm-0", changed);
            assertThat(plan.isDirect()).isTrue();
            assertThat(plan.readerCandidates()).containsExactly("vm-0");
            assertThat(plan.isRelay()).isTrue();
        }
    }

    private static Member withState(Member member, MemberState state) {
        return new Member(member.id(), member.address(), state, member.payload(), 0, 0);
    }

    private static String dataCentre(String name, List<Member> view) {
        return view.stream()
                .filter(member -> member.name().equals(name))
                .map(member -> member.payload().dataCentre())
                .findFirst()
                .orElseThrow();
    }

    private static List<Member> fleet(int size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Payload payload = new Payload("", "dc-" + i % DATA_CENTRES, "region", 1, 0, 0);
            members.add(new Member(
                    new MemberId("vm-" + i, 1),
                    new InetSocketAddress("127.0.0.1", 1 + i),
                    MemberState.ALIVE,
                    payload,
                    0,
                    0));
        }
        return members;
    }
}
