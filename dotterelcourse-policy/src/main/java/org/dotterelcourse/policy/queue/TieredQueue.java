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
 * A queue with strict priority tiers and a minimum share for each class.
 *
 * <p>Answers overload by urgent classes. Without tiers, interactive requests wait for batch work that was queued before
 * them; without minimum shares, batch work starves as long as the overload lasts. The order of service is: first the
 * classes that are below their minimum share ({@link ClassAccount}), the one with the most credit relative to its share
 * first; then the highest tier with queued requests, and within it the class with the least work per weight (weighted
 * fair queueing by virtual time).
 *
 * <p>The shared capacity of {@link CellSettings#maxWaiting()} requests is strict: when it is exceeded, the newest
 * request of the lowest tier in it is shed, whichever request arrived last. Each class with a minimum share, configured
 * or by default, has {@link CellSettings#guaranteedWaiting()} additional places. No other class could use these, so
 * they do not reduce the capacity of other classes. Without them, a minimum share would have no effect in a long overload, because
 * all requests of the class would be shed before they could be served. Memory is bounded by the shared capacity plus
 * the guaranteed places of all classes.
 */
public final class TieredQueue implements RequestQueue {
    /**
     * Within a tier, a class with a smaller minimum share, or none, weighs as much as one with a share of a twentieth.
     */
    private static final double MIN_WEIGHT = 0.05;

    /** Maximum credit of a class, in multiples of its largest recent request, after it could not be placed for long. */
    private static final double MAX_CREDIT_QUANTA = 8;

    private static final Comparator<QueuedRequest> EARLIEST_START =
            Comparator.comparingLong(QueuedRequest::latestStartNanos).thenComparingLong(QueuedRequest::sequence);

    private final CellSettings settings;
    private final Map<String, QueuedRequest> byId = new HashMap<>();
    private final Map<String, ClassQueue> classes = new HashMap<>();
    private final double[] tierVirtualTime = new double[ClassTerms.LOWEST_TIER + 1];
    private final TreeSet<QueuedRequest> uselessWhenLate = new TreeSet<>(EARLIEST_START);
    private double cellWork;

    /**
     * Creates an empty queue.
     *
     * @param settings the capacities and the enabled mechanisms
     */
    public TieredQueue(CellSettings settings) {
        this.settings = settings;
    }

    @Override
    public void add(QueuedRequest queued) {
        ClassTerms terms = queued.request().terms();
        ClassQueue queue = classes.computeIfAbsent(terms.name(), name -> new ClassQueue(terms, settings));
        if (queue.size() == 0) {
            queue.account().accrue(cellWork, share(terms), 0);
            queue.account().catchUp(tierVirtualTime[tier(terms)]);
        }
        queue.add(queued);
        byId.put(queued.request().id(), queued);
        if (terms.lateIsUseless()) {
            uselessWhenLate.add(queued);
        }
    }

    @Override
    public Optional<QueuedRequest> remove(String requestId) {
        QueuedRequest queued = byId.get(requestId);
        if (queued == null) {
            return Optional.empty();
        }
        classOf(queued).remove(queued);
        removeFromIndexes(queued);
        return Optional.of(queued);
    }

    @Override
    public <P> Optional<Dequeued<P>> poll(Function<QueuedRequest, Optional<P>> placer, long nowNanos) {
        List<ClassQueue> candidates = classesWithRequests();
        while (!candidates.isEmpty()) {
            ClassQueue queue = best(candidates);
            candidates.remove(queue);
            Optional<Dequeued<P>> dequeued = queue.poll(placer, isBelowMinimumShare(queue), nowNanos);
            if (dequeued.isPresent()) {
                QueuedRequest queued = dequeued.get().queued();
                removeFromIndexes(queued);
                charge(queue, queued.work());
                return dequeued;
            }
        }
        return Optional.empty();
    }

    @Override
    public Optional<QueuedRequest> pollById(String requestId) {
        Optional<QueuedRequest> removed = remove(requestId);
        removed.ifPresent(queued -> charge(classOf(queued), queued.work()));
        return removed;
    }

    @Override
    public Optional<QueuedRequest> mostUrgent(long nowNanos) {
        ClassQueue best = null;
        for (ClassQueue queue : classes.values()) {
            boolean hasRequests = queue.size() > 0;
            if (hasRequests && (best == null || isBeforeInTierOrder(queue, best))) {
                best = queue;
            }
        }
        return best == null ? Optional.empty() : Optional.of(best.head(nowNanos));
    }

    @Override
    public List<QueuedRequest> all() {
        return List.copyOf(byId.values());
    }

    @Override
    public Optional<QueuedRequest> shed(long nowNanos) {
        int shared = 0;
        ClassQueue lowest = null;
        for (ClassQueue queue : classes.values()) {
            int sheddable = sheddableCount(queue);
            shared += sheddable;
            if (sheddable > 0 && (lowest == null || isShedBefore(queue, lowest))) {
                lowest = queue;
            }
        }
        if (shared <= settings.maxWaiting()) {
            return Optional.empty();
        }
        return remove(lowest.newestOfLongest(nowNanos).request().id());
    }

    @Override
    public Optional<QueuedRequest> shedFromClass(String className, long nowNanos) {
        ClassQueue queue = classes.get(className);
        if (queue == null || queue.size() <= queue.terms().maxWaiting()) {
            return Optional.empty();
        }
        return remove(queue.newestOfLongest(nowNanos).request().id());
    }

    @Override
    public Optional<QueuedRequest> removeExpired(long nowNanos) {
        if (uselessWhenLate.isEmpty() || !uselessWhenLate.first().isLate(nowNanos)) {
            return Optional.empty();
        }
        return remove(uselessWhenLate.first().request().id());
    }

    @Override
    public void correctCharge(String className, String customer, double charged, double actual) {
        ClassQueue queue = classes.get(className);
        if (queue == null) {
            return;
        }
        double difference = actual - charged;
        cellWork += difference;
        queue.correctCharge(customer, difference);
        queue.account().correct(difference, actual);
    }

    @Override
    public double workAhead(QueuedRequest queued) {
        ClassTerms terms = queued.request().terms();
        double otherClasses = 0;
        double ownClass = 0;
        double lowerTierShares = 0;
        for (ClassQueue queue : classes.values()) {
            if (queue.name().equals(terms.name())) {
                ownClass = queue.workAhead(queued);
            } else if (queue.size() > 0 && tier(queue.terms()) <= tier(terms)) {
                otherClasses += queue.work();
            } else if (queue.size() > 0) {
                lowerTierShares += share(queue.terms());
            }
        }
        double inTierOrderWork = (otherClasses + ownClass) / Math.max(MIN_WEIGHT, 1 - lowerTierShares);
        double share = share(terms);
        return share > 0 ? Math.min(inTierOrderWork, ownClass / share) : inTierOrderWork;
    }

    @Override
    public boolean contains(String requestId) {
        return byId.containsKey(requestId);
    }

    @Override
    public int size() {
        return byId.size();
    }

    /** Brings the credits of all classes with queued requests up to date, and returns these classes. */
    private List<ClassQueue> classesWithRequests() {
        Collection<ClassQueue> all = classes.values();
        List<ClassQueue> nonEmpty = new ArrayList<>(all.size());
        for (ClassQueue queue : all) {
            if (queue.size() > 0) {
                queue.account().accrue(cellWork, share(queue.terms()), MAX_CREDIT_QUANTA * queue.quantum());
                nonEmpty.add(queue);
            }
        }
        return nonEmpty;
    }

    private ClassQueue best(List<ClassQueue> candidates) {
        ClassQueue best = candidates.get(0);
        for (ClassQueue queue : candidates) {
            if (isServedBefore(queue, best)) {
                best = queue;
            }
        }
        return best;
    }

    private boolean isServedBefore(ClassQueue left, ClassQueue right) {
        if (isBelowMinimumShare(left) != isBelowMinimumShare(right)) {
            return isBelowMinimumShare(left);
        }
        if (isBelowMinimumShare(left)) {
            return left.account().credit() * share(right.terms())
                    > right.account().credit() * share(left.terms());
        }
        return isBeforeInTierOrder(left, right);
    }

    private boolean isBeforeInTierOrder(ClassQueue left, ClassQueue right) {
        if (tier(left.terms()) != tier(right.terms())) {
            return tier(left.terms()) < tier(right.terms());
        }
        return left.account().virtualTime() < right.account().virtualTime();
    }

    private boolean isBelowMinimumShare(ClassQueue queue) {
        return share(queue.terms()) > 0 && queue.account().credit() >= queue.quantum();
    }

    private void charge(ClassQueue queue, double work) {
        ClassTerms terms = queue.terms();
        cellWork += work;
        queue.account().debit(work);
        tierVirtualTime[tier(terms)] =
                Math.max(tierVirtualTime[tier(terms)], queue.account().virtualTime());
        queue.account().advanceVirtualTime(work, Math.max(terms.minimumShare(), MIN_WEIGHT));
    }

    private int sheddableCount(ClassQueue queue) {
        int guaranteed = share(queue.terms()) > 0 ? settings.guaranteedWaiting() : 0;
        return Math.max(0, queue.size() - guaranteed);
    }

    private boolean isShedBefore(ClassQueue left, ClassQueue right) {
        if (tier(left.terms()) != tier(right.terms())) {
            return tier(left.terms()) > tier(right.terms());
        }
        return sheddableCount(left) > sheddableCount(right);
    }

    private double share(ClassTerms terms) {
        double share = Math.max(terms.minimumShare(), settings.defaultMinimumShare());
        return settings.isEnabled(Mechanism.MINIMUM_SHARE) ? share : 0;
    }

    private int tier(ClassTerms terms) {
        return settings.isEnabled(Mechanism.TIERS) ? terms.tier() : ClassTerms.HIGHEST_TIER;
    }

    private ClassQueue classOf(QueuedRequest queued) {
        return classes.get(queued.request().terms().name());
    }

    private void removeFromIndexes(QueuedRequest queued) {
        byId.remove(queued.request().id());
        uselessWhenLate.remove(queued);
    }
}
