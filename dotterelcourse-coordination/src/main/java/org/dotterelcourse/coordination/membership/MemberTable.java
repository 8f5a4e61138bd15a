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

/**
 * The other members by name. Updates are merged by incarnation and state, so the result does not depend on the order in
 * which they arrive.
 */
final class MemberTable {

    /** What a merge changed in the table. */
    enum MergeResult {
        UNCHANGED,
        PAYLOAD_CHANGED,
        STATE_CHANGED
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

    Collection<Member> members() {
        return members.values();
    }

    List<Member> matching(Predicate<Member> condition) {
        List<Member> matches = new ArrayList<>();
        for (Member member : members.values()) {
            if (condition.test(member)) {
                matches.add(member);
            }
        }
        return matches;
    }

    /** Returns the number of members in any state except {@link MemberState#DEAD}. */
    int liveCount() {
        int count = 0;
        for (Member member : members.values()) {
            if (member.state() != MemberState.DEAD) {
                count++;
            }
        }
        return count;
    }

    /**
     * Merges an update. A process that was paused or partitioned declares live members dead, and accepting its reports
     * would change owners in a healthy part of the fleet. If a third party reports the death of a member that is alive
     * in this table, the member therefore only becomes suspect: it is probed directly and refutes the suspicion within
     * a round trip if it is alive.
     *
     * @param fromSubject whether the update was sent by the member that it describes
     */
    MergeResult merge(Update update, boolean fromSubject, long nowNanos) {
        Member current = members.get(update.id().name());
        if (current == null) {
            return add(update, nowNanos);
        }
        if (!update.overrides(current.id().incarnation(), current.state())) {
            return mergePayload(current, update);
        }
        boolean thirdPartyDeath = update.state() == MemberState.DEAD && !fromSubject;
        boolean suspectOnly = thirdPartyDeath && current.state() == MemberState.ALIVE;
        MemberState state = suspectOnly ? MemberState.SUSPECT : update.state();
        replace(current, update, state, nowNanos);
        return MergeResult.STATE_CHANGED;
    }

    void changeState(Member member, MemberState state, long nowNanos) {
        members.put(member.name(), member.withState(state, nowNanos));
    }

    /** Removes and returns the members that have been dead for longer than {@code retentionNanos}. */
    List<Member> evictDead(long nowNanos, long retentionNanos) {
        List<Member> evicted = new ArrayList<>();
        Iterator<Member> iterator = members.values().iterator();
        while (iterator.hasNext()) {
            Member member = iterator.next();
            if (member.state() == MemberState.DEAD && nowNanos - member.sinceNanos() > retentionNanos) {
                iterator.remove();
                evicted.add(member);
            }
        }
        return evicted;
    }

    /**
     * Returns a digest of the names and incarnations of all members that are not dead, this process included. States are
     * not part of the digest because some last only seconds.
     */
    long digest(Update self) {
        long sum = self.state() == MemberState.DEAD ? 0 : digestOf(self);
        for (Member member : members.values()) {
            if (member.state() != MemberState.DEAD) {
                sum += digestOf(member.update());
            }
        }
        return sum;
    }

    /** Returns whether a member that is not dead has this address. */
    boolean hasLiveMemberAt(InetSocketAddress address) {
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

    /**
     * Adds an unknown member unless it is dead. Otherwise members would pass evicted entries back to one another, and
     * no dead member would ever be removed from the fleet.
     */
    private MergeResult add(Update update, long nowNanos) {
        if (update.state() == MemberState.DEAD || members.size() >= maxMembers) {
            return MergeResult.UNCHANGED;
        }
        Member member = new Member(
                update.id(), update.address(), update.state(), update.payload(), update.payloadVersion(), nowNanos);
        members.put(member.name(), member);
        return MergeResult.STATE_CHANGED;
    }

    private MergeResult mergePayload(Member current, Update update) {
        boolean newer = update.id().incarnation() == current.id().incarnation()
                && update.payloadVersion() > current.payloadVersion();
        if (!newer) {
            return MergeResult.UNCHANGED;
        }
        members.put(current.name(), current.withPayload(update.payload(), update.payloadVersion()));
        return MergeResult.PAYLOAD_CHANGED;
    }

    private void replace(Member current, Update update, MemberState state, long nowNanos) {
        boolean sameIncarnation = update.id().incarnation() == current.id().incarnation();
        boolean olderPayload = sameIncarnation && update.payloadVersion() < current.payloadVersion();
        Payload payload = olderPayload ? current.payload() : update.payload();
        long version = olderPayload ? current.payloadVersion() : update.payloadVersion();
        long since = state == current.state() ? current.sinceNanos() : nowNanos;
        members.put(current.name(), new Member(update.id(), update.address(), state, payload, version, since));
    }
}
