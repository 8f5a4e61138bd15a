package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** The other members by name. Statements are merged by incarnation and state, so their order does not matter. */
final class MemberTable {

    /** What a statement changed. */
    enum Merge {
        NOTHING,
        PAYLOAD,
        STATE
    }

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private final Map<String, Member> members = new LinkedHashMap<>();
    private final int maxMembers;

    MemberTable(int maxMembers) {
        this.maxMembers = maxMembers;
    }

    Member member(String name) {
        return members.get(name);
    }

    Collection<Member> all() {
        return members.values();
    }

    List<Member> where(Predicate<Member> condition) {
        List<Member> found = new ArrayList<>();
        for (Member member : members.values()) {
            if (condition.test(member)) {
                found.add(member);
            }
        }
        return found;
    }

    int livingCount() {
        int count = 0;
        for (Member member : members.values()) {
            if (member.state() != MemberState.DEAD) {
                count++;
            }
        }
        return count;
    }

    /**
     * Merges a statement. A process that was paused or cut off declares live members dead, and its news would turn
     * owners over in a healthy part of the fleet. So another's word that a member is dead, which is not even suspected
     * here, only makes it a suspect: it is asked directly, and refutes within a round trip if it lives.
     */
    Merge merge(Update claim, boolean firstHand, long nowNanos) {
        Member known = members.get(claim.id().name());
        if (known == null) {
            return add(claim, nowNanos);
        }
        if (!claim.overrides(known.id().incarnation(), known.state())) {
            return refresh(known, claim);
        }
        boolean hearsayDeath = claim.state() == MemberState.DEAD && !firstHand;
        boolean unsuspected = hearsayDeath && known.state() == MemberState.ALIVE;
        MemberState state = unsuspected ? MemberState.SUSPECT : claim.state();
        put(known, claim, state, nowNanos);
        return Merge.STATE;
    }

    void changeState(Member member, MemberState state, long nowNanos) {
        members.put(member.name(), member.withState(state, nowNanos));
    }

    List<Member> forget(long nowNanos, long ageNanos) {
        List<Member> forgotten = new ArrayList<>();
        Iterator<Member> each = members.values().iterator();
        while (each.hasNext()) {
            Member member = each.next();
            if (member.state() == MemberState.DEAD && nowNanos - member.sinceNanos() > ageNanos) {
                each.remove();
                forgotten.add(member);
            }
        }
        return forgotten;
    }

    /** Equal in two processes that know the same living members; states that change for seconds only are left out. */
    long digest(Update self) {
        long sum = self.state() == MemberState.DEAD ? 0 : digestOf(self);
        for (Member member : members.values()) {
            if (member.state() != MemberState.DEAD) {
                sum += digestOf(member.update());
            }
        }
        return sum;
    }

    boolean holds(InetSocketAddress address) {
        for (Member member : members.values()) {
            if (member.state() != MemberState.DEAD && member.address().equals(address)) {
                return true;
            }
        }
        return false;
    }

    private static long digestOf(Update update) {
        return HASHER.hashStream()
                .putString(update.id().name())
                .putLong(update.id().incarnation())
                .getAsLong();
    }

    /** A dead member that isn't known is left out: else the fleet would never forget one. */
    private Merge add(Update claim, long nowNanos) {
        if (claim.state() == MemberState.DEAD || members.size() >= maxMembers) {
            return Merge.NOTHING;
        }
        Member member = new Member(
                claim.id(), claim.address(), claim.state(), claim.payload(), claim.payloadVersion(), nowNanos);
        members.put(member.name(), member);
        return Merge.STATE;
    }

    private Merge refresh(Member known, Update claim) {
        boolean newer =
                claim.id().incarnation() == known.id().incarnation() && claim.payloadVersion() > known.payloadVersion();
        if (!newer) {
            return Merge.NOTHING;
        }
        members.put(known.name(), known.withPayload(claim.payload(), claim.payloadVersion()));
        return Merge.PAYLOAD;
    }

    private void put(Member known, Update claim, MemberState state, long nowNanos) {
        boolean sameLife = claim.id().incarnation() == known.id().incarnation();
        boolean olderPayload = sameLife && claim.payloadVersion() < known.payloadVersion();
        Payload payload = olderPayload ? known.payload() : claim.payload();
        long version = olderPayload ? known.payloadVersion() : claim.payloadVersion();
        long since = state == known.state() ? known.sinceNanos() : nowNanos;
        members.put(known.name(), new Member(claim.id(), claim.address(), state, payload, version, since));
    }
}
