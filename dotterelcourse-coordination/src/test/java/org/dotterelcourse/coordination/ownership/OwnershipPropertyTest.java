package org.dotterelcourse.coordination.ownership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.membership.Payload;

import static org.assertj.core.api.Assertions.assertThat;

class OwnershipPropertyTest {

    private static final int KEYS = 200;
    private static final long SECOND = 1_000_000_000L;

    @Property(seed = "11", tries = 100)
    void ownersDoNotDependOnTheOrderOfTheView(@ForAll @IntRange(min = 1, max = 40) int size, @ForAll int seed) {
        List<Member> members = fleet(size);
        List<Member> shuffled = new ArrayList<>(members);
        Collections.shuffle(shuffled, new Random(seed));
        assertThat(owners(members)).isEqualTo(owners(shuffled));
    }

    /**
     * When a daemon is lost, its cells get a new owner. If other cells changed owner too, requests queued there would be
     * queued again without need.
     */
    @Property(seed = "12", tries = 100)
    void onlyCellsOfALostMemberChangeOwner(
            @ForAll @IntRange(min = 2, max = 40) int size, @ForAll @IntRange(max = 39) int index) {
        List<Member> members = fleet(size);
        Member lost = members.get(index % size);
        Map<Integer, String> before = owners(members);
        members.remove(lost);
        Map<Integer, String> after = owners(members);
        for (int key = 0; key < KEYS; key++) {
            if (!before.get(key).equals(lost.name())) {
                assertThat(after.get(key)).isEqualTo(before.get(key));
            }
        }
    }

    /**
     * A daemon that is shutting down, or has not answered for a while, is still in the view. If it owned cells, requests
     * for its grants would wait in vain.
     */
    @Property(seed = "13", tries = 50)
    void leavingAndLongSuspectMembersOwnNothing(@ForAll @IntRange(min = 3, max = 30) int size) {
        List<Member> members = fleet(size);
        members.set(0, inState(members.get(0), MemberState.LEAVING, 0));
        members.set(1, inState(members.get(1), MemberState.SUSPECT, 0));
        Set<String> owners = new HashSet<>(owners(members).values());
        assertThat(owners).doesNotContain(members.get(0).name(), members.get(1).name());
        members.set(1, inState(members.get(1), MemberState.SUSPECT, 10 * SECOND));
        assertThat(owners(members)).isEqualTo(owners(withState(members, 1, MemberState.ALIVE)));
    }

    @Property(seed = "14", tries = 20)
    void ownersAreSpreadEvenly(@ForAll @IntRange(min = 2, max = 20) int size) {
        Ownership ownership = new Ownership(fleet(size), SECOND, 10 * SECOND);
        Map<String, Integer> counts = new HashMap<>();
        int cells = 400 * size;
        for (int i = 0; i < cells; i++) {
            String owner = ownership
                    .owner(new CellId("llm", "elsewhere", i))
                    .orElseThrow()
                    .name();
            counts.merge(owner, 1, Integer::sum);
        }
        assertThat(counts.values())
                .hasSize(size)
                .allSatisfy(count -> assertThat(count).isBetween(300, 500));
    }

    @Property(seed = "15", tries = 100)
    void preferredMembersStartInTheOwnDataCentreAndIncludeAnother(
            @ForAll @IntRange(min = 6, max = 30) int size, @ForAll @IntRange(min = 2, max = 5) int count) {
        List<Member> members = fleet(size);
        members.set(0, inState(members.get(0), MemberState.SUSPECT, 10 * SECOND));
        members.set(1, inState(members.get(1), MemberState.LEAVING, 0));
        List<Member> preferred =
                new Ownership(members, SECOND, 10 * SECOND).preferredMembers("bank", "dc-2", "r-0", count);
        assertThat(preferred).hasSize(Math.min(count, size - 2)).doesNotContain(members.get(0), members.get(1));
        assertThat(preferred.get(0).payload().dataCentre()).isEqualTo("dc-2");
        assertThat(preferred)
                .anySatisfy(member -> assertThat(member.payload().dataCentre()).isNotEqualTo("dc-2"));
    }

    @Property(seed = "16", tries = 60)
    void cellsContainEachWorkerOnceAndStayWithinTheirMaximumSize(@ForAll @IntRange(max = 700) int size) {
        Set<String> seen = new HashSet<>();
        for (Cell cell : Cells.partition("llm", "muscat", workers(size))) {
            assertThat(cell.workers()).hasSizeLessThanOrEqualTo(Cells.MAX_WORKERS);
            cell.workers().forEach(worker -> assertThat(seen.add(worker)).isTrue());
        }
        assertThat(seen).hasSize(size);
    }

    /**
     * A worker is replaced. If the whole partition changed, busy workers would move to another queue, and grants would be
     * revoked from healthy owners.
     */
    @Property(seed = "17", tries = 60)
    void fewWorkersChangeTheirCellWhenOneIsRemoved(
            @ForAll @IntRange(min = 2, max = 600) int size, @ForAll @IntRange(max = 599) int index) {
        List<String> workers = workers(size);
        Map<String, CellId> before = cellOf(workers);
        workers.remove(index % size);
        Map<String, CellId> after = cellOf(workers);
        long moved = after.keySet().stream()
                .filter(worker -> !after.get(worker).equals(before.get(worker)))
                .count();
        boolean sameCount = Cells.count(size) == Cells.count(size - 1);
        assertThat(moved).isLessThanOrEqualTo(sameCount ? Cells.count(size) : size * 2 / Cells.count(size) + 10);
    }

    private static Map<String, CellId> cellOf(List<String> workers) {
        Map<String, CellId> cells = new HashMap<>();
        for (Cell cell : Cells.partition("llm", "muscat", workers)) {
            cell.workers().forEach(worker -> cells.put(worker, cell.id()));
        }
        return cells;
    }

    private static List<String> workers(int size) {
        List<String> workers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            workers.add("llm-" + i);
        }
        return workers;
    }

    private static Map<Integer, String> owners(List<Member> members) {
        Ownership ownership = new Ownership(members, SECOND, 10 * SECOND);
        Map<Integer, String> owners = new HashMap<>();
        for (int key = 0; key < KEYS; key++) {
            owners.put(
                    key,
                    ownership
                            .owner(new CellId("llm", "r-" + key % 3, key))
                            .orElseThrow()
                            .name());
        }
        return owners;
    }

    private static List<Member> fleet(int size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Payload payload = new Payload("", "dc-" + i % 3, "r-" + i % 2, 0, 0, 0);
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_000 + i);
            members.add(new Member(new MemberId("entry-" + i, 1), address, MemberState.ALIVE, payload, 0, 0));
        }
        return members;
    }

    private static List<Member> withState(List<Member> members, int index, MemberState state) {
        List<Member> changed = new ArrayList<>(members);
        changed.set(index, inState(members.get(index), state, 0));
        return changed;
    }

    private static Member inState(Member member, MemberState state, long sinceNanos) {
        return new Member(member.id(), member.address(), state, member.payload(), 0, sinceNanos);
    }
}
