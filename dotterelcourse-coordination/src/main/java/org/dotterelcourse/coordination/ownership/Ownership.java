package org.dotterelcourse.coordination.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;

/**
 * Assigns cells, customers and other responsibilities to members by rendezvous hashing over one membership view. A
 * leaving member owns nothing. A suspect keeps its assignments for a grace period, because most suspicions are refuted
 * and each change of owner costs its cell a settle time. Processes with the same view agree. While views differ, two
 * members may act as owner at the same time, which the protocols for grants have to tolerate.
 */
public final class Ownership {

    private static final String CELL_KEY = "cell/";
    private static final String CUSTOMER_KEY = "customer/";
    private static final String READER_KEY = "reader/";
    private static final String ADDRESS_KEY = "address/";

    private final List<Member> eligibleOwners = new ArrayList<>();
    private final List<Member> alive = new ArrayList<>();

    /**
     * Creates the assignment for a membership view.
     *
     * @param members the view, this process included
     * @param suspectGraceNanos how long a suspect keeps its assignments, in nanoseconds; typically one or two seconds
     * @param nowNanos current monotonic time in nanoseconds, on the clock of {@link Member#sinceNanos()}
     */
    public Ownership(Collection<Member> members, long suspectGraceNanos, long nowNanos) {
        for (Member member : members) {
            boolean withinGrace = nowNanos - member.sinceNanos() <= suspectGraceNanos;
            if (member.state() == MemberState.ALIVE) {
                alive.add(member);
                eligibleOwners.add(member);
            } else if (member.state() == MemberState.SUSPECT && withinGrace) {
                eligibleOwners.add(member);
            }
        }
    }

    /**
     * Returns the owner of a cell, a member in the cell's region if there is an eligible one.
     *
     * @param cell the cell
     * @return the owner; empty if no member is eligible
     */
    public Optional<Member> owner(CellId cell) {
        return ownerOf(CELL_KEY + cell.key(), cell.region());
    }

    /**
     * Returns the member that enforces a customer's limits, one in the customer's region if there is an eligible one.
     *
     * @param customer the customer's name
     * @param region the customer's region
     * @return the member; empty if no member is eligible
     */
    public Optional<Member> customerOwner(String customer, String region) {
        return ownerOf(CUSTOMER_KEY + customer, region);
    }

    /**
     * Returns the members of a data centre that watch the configuration service.
     *
     * @param dataCentre the data centre
     * @param count the maximum number of members
     * @return at most {@code count} live members, in order of preference
     */
    public List<Member> readers(String dataCentre, int count) {
        List<Member> order = order(READER_KEY + dataCentre, alive, inDataCentre(dataCentre));
        return order.subList(0, Math.min(count, order.size()));
    }

    /**
     * Returns the members that a customer should connect to. Members of the given data centre come first. If there are
     * others, at least one is included when {@code count} is 2 or more, so that a client that caches the result survives
     * the loss of the data centre. Leaving and suspect members are excluded, because new connections to them would be
     * closed or hang.
     *
     * @param customer the customer's name
     * @param dataCentre the data centre in which the customer made the request
     * @param region the region of that data centre
     * @param count the maximum number of members
     * @return at most {@code count} live members; the same ones while they stay alive
     */
    public List<Member> preferredMembers(String customer, String dataCentre, String region, int count) {
        String key = ADDRESS_KEY + customer;
        Predicate<Member> local = inDataCentre(dataCentre);
        List<Member> localMembers = order(key, alive, local);
        List<Member> remoteMembers = order(key, alive, local.negate().and(inRegion(region)));
        remoteMembers.addAll(
                order(key, alive, local.negate().and(inRegion(region).negate())));
        int reserved = remoteMembers.isEmpty() || count < 2 ? 0 : 1;
        List<Member> selected =
                new ArrayList<>(localMembers.subList(0, Math.min(count - reserved, localMembers.size())));
        for (Member member : remoteMembers) {
            if (selected.size() < count) {
                selected.add(member);
            }
        }
        return selected;
    }

    private Optional<Member> ownerOf(String key, String region) {
        Member regional = highestWeighted(key, inRegion(region));
        return Optional.ofNullable(regional == null ? highestWeighted(key, member -> true) : regional);
    }

    private Member highestWeighted(String key, Predicate<Member> condition) {
        Member best = null;
        long highestWeight = 0;
        for (Member member : eligibleOwners) {
            if (!condition.test(member)) {
                continue;
            }
            long weight = Rendezvous.weight(key, member.name());
            if (best == null || Long.compareUnsigned(weight, highestWeight) > 0) {
                best = member;
                highestWeight = weight;
            }
        }
        return best;
    }

    private static List<Member> order(String key, List<Member> members, Predicate<Member> condition) {
        Map<String, Member> byName = new HashMap<>();
        for (Member member : members) {
            if (condition.test(member)) {
                byName.put(member.name(), member);
            }
        }
        List<Member> order = new ArrayList<>();
        for (String name : Rendezvous.order(key, byName.keySet())) {
            order.add(byName.get(name));
        }
        return order;
    }

    private static Predicate<Member> inDataCentre(String dataCentre) {
        return member -> member.payload().dataCentre().equals(dataCentre);
    }

    private static Predicate<Member> inRegion(String region) {
        return member -> member.payload().region().equals(region);
    }
}
