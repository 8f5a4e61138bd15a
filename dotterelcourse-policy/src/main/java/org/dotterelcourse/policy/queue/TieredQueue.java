package org.dotterelcourse.policy.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;

import org.dotterelcourse.policy.cell.CellSettings;
import org.dotterelcourse.policy.cell.ClassTerms;
import org.dotterelcourse.policy.cell.Mechanism;

/**
 * Strict tiers with a minimum share for each class.
 *
 * <p>Answers the load pattern of a rush: urgent classes want more than the cell can do. Without tiers a teller waits
 * behind a night's summaries; without minimum shares the summaries never run while the rush lasts. First come the
 * classes that are owed their minimum share ({@link ClassAccount}), the one owed longest first; then the highest tier
 * that waits, in it the class that has had least work for its weight.
 *
 * <p>Shares and shedding meet as follows. The shared room of {@link CellSettings#maxWaiting()} places is strict: when
 * it is full, the newest request of the lowest tier in it goes, whoever has come. A class with a share, its own or the
 * least, also has {@link CellSettings#guaranteedWaiting()} places of its own. They take nothing from anybody, since no
 * other class could ever use them, and without them a share would be worth nothing in a long rush: nothing of the class would be there to
 * be served. Memory is bounded by the shared room and the guaranteed places of the classes.
 */
public final class TieredQueue implements WaitingQueue {
    /** A class without a minimum share weighs as much as one with a twentieth, against others of its tier. */
    private static final double SMALLEST_WEIGHT = 0.05;

    /** A class that couldn't be placed for long may claim so many of its largest requests at once. */
    private static final double MOST_CREDIT = 8;

    private static final Comparator<Waiting> EARLIEST_START =
            Comparator.comparingLong(Waiting::startByNanos).thenComparingLong(Waiting::sequence);

    private final CellSettings settings;
    private final Map<String, Waiting> byId = new HashMap<>();
    private final Map<String, ClassQueue> classes = new HashMap<>();
    private final double[] tierTime = new double[ClassTerms.LOWEST_TIER + 1];
    private final TreeSet<Waiting> uselessLate = new TreeSet<>(EARLIEST_START);
    private double cellWork;

    /**
     * Makes an empty queue.
     *
     * @param settings the bounds and the mechanisms in use
     */
    public TieredQueue(CellSettings settings) {
        this.settings = settings;
    }

    @Override
    public void add(Waiting waiting) {
        ClassTerms terms = waiting.ask().terms();
        ClassQueue queue = classes.computeIfAbsent(terms.name(), name -> new ClassQueue(terms, settings));
        if (queue.size() == 0) {
            queue.account().earn(cellWork, share(terms), 0);
            queue.account().catchUp(tierTime[tier(terms)]);
        }
        queue.add(waiting);
        byId.put(waiting.ask().id(), waiting);
        if (terms.lateIsUseless()) {
            uselessLate.add(waiting);
        }
    }

    @Override
    public Optional<Waiting> remove(String requestId) {
        Waiting waiting = byId.get(requestId);
        if (waiting == null) {
            return Optional.empty();
        }
        classOf(waiting).remove(waiting);
        forget(waiting);
        return Optional.of(waiting);
    }

    @Override
    public <P> Optional<Taken<P>> next(Function<Waiting, Optional<P>> placer, long nowNanos) {
        List<ClassQueue> untried = waitingClasses();
        while (!untried.isEmpty()) {
            ClassQueue queue = best(untried);
            untried.remove(queue);
            Optional<Taken<P>> taken = queue.next(placer, isOwed(queue), nowNanos);
            if (taken.isPresent()) {
                Waiting waiting = taken.get().waiting();
                forget(waiting);
                charge(queue, waiting.work());
                return taken;
            }
        }
        return Optional.empty();
    }

    @Override
    public Optional<Waiting> take(String requestId) {
        Optional<Waiting> taken = remove(requestId);
        taken.ifPresent(waiting -> charge(classOf(waiting), waiting.work()));
        return taken;
    }

    @Override
    public Optional<Waiting> mostUrgent(long nowNanos) {
        ClassQueue best = null;
        for (ClassQueue queue : classes.values()) {
            boolean waits = queue.size() > 0;
            if (waits && (best == null || inTierOrder(queue, best))) {
                best = queue;
            }
        }
        return best == null ? Optional.empty() : Optional.of(best.head(nowNanos));
    }

    @Override
    public List<Waiting> all() {
        return List.copyOf(byId.values());
    }

    @Override
    public Optional<Waiting> shed(long nowNanos) {
        int shared = 0;
        ClassQueue lowest = null;
        for (ClassQueue queue : classes.values()) {
            int sheddable = sheddable(queue);
            shared += sheddable;
            if (sheddable > 0 && (lowest == null || goesBefore(queue, lowest))) {
                lowest = queue;
            }
        }
        if (shared <= settings.maxWaiting()) {
            return Optional.empty();
        }
        return remove(lowest.newestOfLongest(nowNanos).ask().id());
    }

    @Override
    public Optional<Waiting> shedFromClass(String className, long nowNanos) {
        ClassQueue queue = classes.get(className);
        if (queue == null || queue.size() <= queue.terms().maxWaiting()) {
            return Optional.empty();
        }
        return remove(queue.newestOfLongest(nowNanos).ask().id());
    }

    @Override
    public Optional<Waiting> expired(long nowNanos) {
        if (uselessLate.isEmpty() || !uselessLate.first().isLate(nowNanos)) {
            return Optional.empty();
        }
        return remove(uselessLate.first().ask().id());
    }

    @Override
    public void settle(String className, String customer, double charged, double actual) {
        ClassQueue queue = classes.get(className);
        if (queue == null) {
            return;
        }
        double difference = actual - charged;
        cellWork += difference;
        queue.settle(customer, difference);
        queue.account().correct(difference, actual);
    }

    @Override
    public double workAhead(Waiting waiting) {
        ClassTerms terms = waiting.ask().terms();
        double ahead = 0;
        double own = 0;
        double owedToLower = 0;
        for (ClassQueue queue : classes.values()) {
            if (queue.name().equals(terms.name())) {
                own = queue.workAhead(waiting);
            } else if (queue.size() > 0 && tier(queue.terms()) <= tier(terms)) {
                ahead += queue.work();
            } else if (queue.size() > 0) {
                owedToLower += share(queue.terms());
            }
        }
        double inOrder = (ahead + own) / Math.max(SMALLEST_WEIGHT, 1 - owedToLower);
        double share = share(terms);
        return share > 0 ? Math.min(inOrder, own / share) : inOrder;
    }

    @Override
    public boolean contains(String requestId) {
        return byId.containsKey(requestId);
    }

    @Override
    public int size() {
        return byId.size();
    }

    private List<ClassQueue> waitingClasses() {
        Collection<ClassQueue> all = classes.values();
        List<ClassQueue> waiting = new ArrayList<>(all.size());
        for (ClassQueue queue : all) {
            if (queue.size() > 0) {
                queue.account().earn(cellWork, share(queue.terms()), MOST_CREDIT * queue.quantum());
                waiting.add(queue);
            }
        }
        return waiting;
    }

    private ClassQueue best(List<ClassQueue> candidates) {
        ClassQueue best = candidates.get(0);
        for (ClassQueue queue : candidates) {
            if (servedBefore(queue, best)) {
                best = queue;
            }
        }
        return best;
    }

    private boolean servedBefore(ClassQueue left, ClassQueue right) {
        if (isOwed(left) != isOwed(right)) {
            return isOwed(left);
        }
        if (isOwed(left)) {
            return left.account().credit() * share(right.terms())
                    > right.account().credit() * share(left.terms());
        }
        return inTierOrder(left, right);
    }

    private boolean inTierOrder(ClassQueue left, ClassQueue right) {
        if (tier(left.terms()) != tier(right.terms())) {
            return tier(left.terms()) < tier(right.terms());
        }
        return left.account().virtualTime() < right.account().virtualTime();
    }

    private boolean isOwed(ClassQueue queue) {
        return share(queue.terms()) > 0 && queue.account().credit() >= queue.quantum();
    }

    private void charge(ClassQueue queue, double work) {
        ClassTerms terms = queue.terms();
        cellWork += work;
        queue.account().pay(work);
        tierTime[tier(terms)] = Math.max(tierTime[tier(terms)], queue.account().virtualTime());
        queue.account().passVirtualTime(work, Math.max(terms.minimumShare(), SMALLEST_WEIGHT));
    }

    private int sheddable(ClassQueue queue) {
        int guaranteed = share(queue.terms()) > 0 ? settings.guaranteedWaiting() : 0;
        return Math.max(0, queue.size() - guaranteed);
    }

    private boolean goesBefore(ClassQueue left, ClassQueue right) {
        if (tier(left.terms()) != tier(right.terms())) {
            return tier(left.terms()) > tier(right.terms());
        }
        return sheddable(left) > sheddable(right);
    }

    private double share(ClassTerms terms) {
        double share = Math.max(terms.minimumShare(), settings.leastShare());
        return settings.isEnabled(Mechanism.MINIMUM_SHARE) ? share : 0;
    }

    private int tier(ClassTerms terms) {
        return settings.isEnabled(Mechanism.TIERS) ? terms.tier() : ClassTerms.HIGHEST_TIER;
    }

    private ClassQueue classOf(Waiting waiting) {
        return classes.get(waiting.ask().terms().name());
    }

    private void forget(Waiting waiting) {
        byId.remove(waiting.ask().id());
        uselessLate.remove(waiting);
    }
}
