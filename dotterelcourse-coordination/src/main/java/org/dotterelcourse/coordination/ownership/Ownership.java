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
 * Who is responsible for what, by one view of the fleet. A member that is leaving has nothing; one that has only just
 * become a suspect keeps what it has, since most suspicions are refuted and each change of owner costs its cell a
 * settle time. Two processes with the same view agree; two with different views may name two owners for a while, and
 * what is granted must bear that.
 */
public final class Ownership {

    private static final String CELL = "cell/";
    private static final String CUSTOMER = "customer/";
    private static final String READER = "reader/";
    private static final String ADDRESS = "address/";

    private final List<Member> responsible = new ArrayList<>();
    private final List<Member> alive = new ArrayList<>();

    /**
     * Takes a view.
     *
     * @param members the view, this process included
     * @param suspectGraceNanos how long a suspect keeps what it has; a second or two
     * @param nowNanos the present time on the clock of the view
     */
    public Ownership(Collection<Member> members, long suspectGraceNanos, long nowNanos) {
        for (Member member : members) {
            boolean fresh = nowNanos - member.sinceNanos() <= suspectGraceNanos;
            if (member.state() == MemberState.ALIVE) {
                alive.add(member);
                responsible.add(member);
            } else if (member.state() == MemberState.SUSPECT && fresh) {
                responsible.add(member);
            }
        }
    }

    /**
     * The owner of a cell, in the cell's region if anyone is there.
     *
     * @param cell the cell
     * @return the owner, empty when nobody is alive
     */
    public Optional<Member> owner(CellId cell) {
        return first(CELL + cell.key(), cell.region());
    }

    /**
     * The daemon that keeps a customer's limits.
     *
     * @param customer the customer's name
     * @param region the customer's region
     * @return the daemon, empty when nobody is alive
     */
    public Optional<Member> customerOwner(String customer, String region) {
        return first(CUSTOMER + customer, region);
    }

    /**
     * The daemons of a data centre that watch the configuration service.
     *
     * @param dataCentre the data centre
     * @param count how many
     * @return up to that many, all alive
     */
    public List<Member> readers(String dataCentre, int count) {
        List<Member> order = order(READER + dataCentre, alive, inDataCentre(dataCentre));
        return order.subList(0, Math.min(count, order.size()));
    }

    /**
     * The daemons that a customer is to use: those of its data centre first, and where there is another data centre at
     * least one of that, so that a caller who keeps the answer is not lost with its data centre. Members that are
     * leaving or suspect are left out: new connections to them would be cut off or hang.
     *
     * @param customer the customer's name
     * @param dataCentre the data centre that it asked in
     * @param region the region of that data centre
     * @param count how many addresses
     * @return up to that many, all alive, the same as long as they are alive
     */
    public List<Member> preferredMembers(String customer, String dataCentre, String region, int count) {
        String key = ADDRESS + customer;
        Predicate<Member> near = inDataCentre(dataCentre);
        List<Member> own = order(key, alive, near);
        List<Member> other = order(key, alive, near.negate().and(inRegion(region)));
        other.addAll(order(key, alive, near.negate().and(inRegion(region).negate())));
        int spare = other.isEmpty() || count < 2 ? 0 : 1;
        List<Member> chosen = new ArrayList<>(own.subList(0, Math.min(count - spare, own.size())));
        for (Member member : other) {
            if (chosen.size() < count) {
                chosen.add(member);
            }
        }
        return chosen;
    }

    private Optional<Member> first(String key, String region) {
        Member best = best(key, inRegion(region));
        return Optional.ofNullable(best == null ? best(key, member -> true) : best);
    }

    private Member best(String key, Predicate<Member> condition) {
        Member best = null;
        long highest = 0;
        for (Member member : responsible) {
            if (!condition.test(member)) {
                continue;
            }
            long weight = Rendezvous.weight(key, member.name());
            if (best == null || Long.compareUnsigned(weight, highest) > 0) {
                best = member;
                highest = weight;
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
