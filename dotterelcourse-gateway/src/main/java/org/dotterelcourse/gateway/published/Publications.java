package org.dotterelcourse.gateway.published;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import reactor.core.publisher.Mono;

/**
 * Merges published items from the store and from peers and passes changes to the {@link ItemDecoder}. Not thread-safe;
 * used on the gateway's event loop only.
 *
 * <p>Workers renew their entries, which expire while the store is unavailable. A process that dropped all expired
 * workers as soon as the store recovers would reject every request for a second or two. Deletions of leases are
 * therefore delayed after a recovery and skipped if the worker has published its entry again by then.
 */
public final class Publications implements Service {
    /** Name of this service in the kernel. */
    public static final ServiceName<Publications> NAME = new ServiceName<>("publications", Publications.class);

    /**
     * How long deletions of leases are delayed after the store recovers. Live workers publish their entries again
     * within two seconds. Must be below two seconds, within which a leaving worker must stop receiving requests.
     */
    private static final long DELETION_HOLD_MILLIS = 1_900;

    /**
     * How long a deleted lease is ignored after it has reappeared because the store was restored from a backup. A lease
     * whose owner no longer exists expires within this time.
     */
    private static final long RESTORED_LEASE_DELAY_MILLIS = 5_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PublishedItems items = new PublishedItems();
    private final StoreFollowerElection followerElection;
    private final ItemDecoder decoder;
    private GatewayLoop loop;
    private long holdEndNanos;
    private boolean initialLoadComplete;
    private ReadListener readListener = (changes, after, upTo, hasNew) -> {};
    private Runnable snapshotListener = () -> {};
    private Supplier<Mono<Boolean>> confirmation = () -> Mono.just(false);

    /** Listener for changes that this process has read from the store itself. */
    @FunctionalInterface
    public interface ReadListener {
        /**
         * Called after changes were read and applied.
         *
         * @param changes the changed items
         * @param after position that the changes directly follow
         * @param upTo position up to which the changes are complete
         * @param hasNew whether any of the changes was new to this process
         */
        void onRead(List<PublishedItem> changes, StorePosition after, StorePosition upTo, boolean hasNew);
    }

    /**
     * Creates the service without any items.
     *
     * @param decoder called with each change
     * @param propagationDeadline time within which changes in the store must take effect in this process
     * @param incarnation number that increases with every start of a process of this name
     */
    public Publications(ItemDecoder decoder, Duration propagationDeadline, long incarnation) {
        this.decoder = decoder;
        this.followerElection = new StoreFollowerElection(propagationDeadline, incarnation);
    }

    @Override
    public ServiceName<Publications> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, GatewayState.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        holdEndNanos = loop.nowNanos();
        return List.of();
    }

    @Override
    public void stop() {
        // Holds no resources.
    }

    /**
     * Returns the position up to which all changes are known.
     *
     * @return the position; {@link StorePosition#NONE} before the first snapshot
     */
    public StorePosition position() {
        return items.position();
    }

    /**
     * Returns all existing items, for a peer that has missed changes.
     *
     * @return the items at {@link #position}
     */
    public List<PublishedItem> live() {
        return items.live();
    }

    /**
     * Returns the changes after a position, for a peer that has missed some.
     *
     * @param after position of the peer
     * @return the changes up to {@link #position}; empty if they are not known, so that the peer needs {@link #live}
     */
    public Optional<List<PublishedItem>> changesAfter(StorePosition after) {
        return items.changesAfter(after);
    }

    /**
     * Returns the election that decides whether this process polls the store or relies on peers.
     *
     * @return the election, as seen by this process
     */
    public StoreFollowerElection followerElection() {
        return followerElection;
    }

    /**
     * Sets the listener for changes that this process has read from the store.
     *
     * @param listener called on the gateway's event loop, must not block; replaces an earlier listener
     */
    public void setReadListener(ReadListener listener) {
        readListener = listener;
    }

    /**
     * Sets the listener for snapshots that this process has read from the store after it had missed changes.
     *
     * @param listener called on the gateway's event loop, must not block; replaces an earlier listener
     */
    public void setSnapshotListener(Runnable listener) {
        snapshotListener = listener;
    }

    /**
     * Sets what reads the changes that this process does not know yet.
     *
     * @param source returns whether all changes until its call have been applied
     */
    public void setConfirmation(Supplier<Mono<Boolean>> source) {
        confirmation = source;
    }

    /**
     * Asks the store for the changes that this process does not know yet, and applies them. A process that follows peers is
     * some tenths of a second behind the store, and any process is behind while it is cut off.
     *
     * @return whether all changes until this call are known now; false if the store does not answer
     */
    public Mono<Boolean> confirm() {
        return Mono.defer(confirmation);
    }

    /** Records that the store has responded after an outage, and delays deletions of leases from now on. */
    public void recordStoreRecovery() {
        holdDeletions(DELETION_HOLD_MILLIS);
    }

    /**
     * Delays deletions of leases, because a peer does so after a recovery of the store. Never shortens the delay.
     *
     * @param millis remaining delay in milliseconds, 0 for none
     */
    public void holdDeletions(long millis) {
        long endNanos = loop.nowNanos() + millis * NANOS_PER_MILLI;
        if (millis > 0 && endNanos - holdEndNanos > 0) {
            holdEndNanos = endNanos;
        }
    }

    /**
     * Returns how much longer deletions of leases are delayed.
     *
     * @return remaining delay in milliseconds, 0 for none
     */
    public long deletionHoldMillis() {
        return Math.max(0, (holdEndNanos - loop.nowNanos()) / NANOS_PER_MILLI);
    }

    /**
     * Applies changes that this process has read from the store, and passes them to the read listener.
     *
     * @param changes the changed items
     * @param after position that the changes directly follow; the position of this process when it sent the call
     * @param upTo position up to which the changes are complete
     */
    public void applyStoreChanges(List<PublishedItem> changes, StorePosition after, StorePosition upTo) {
        List<ItemChange> newChanges = items.merge(changes, after, upTo);
        apply(newChanges);
        if (!changes.isEmpty()) {
            readListener.onRead(changes, after, upTo, !newChanges.isEmpty());
        }
    }

    /**
     * Applies changes that a peer has relayed. Changes before them may be missing.
     *
     * @param changes the changed items
     * @param after position that the changes directly follow
     * @param upTo position up to which the changes are complete
     * @return whether any of them was new
     */
    public boolean applyRelayedChanges(List<PublishedItem> changes, StorePosition after, StorePosition upTo) {
        List<ItemChange> newChanges = items.merge(changes, after, upTo);
        apply(newChanges);
        return !newChanges.isEmpty();
    }

    /**
     * Applies a snapshot that this process has read from the store, and passes the differences to the read listener.
     * Within an era, the snapshot listener is called instead: the differences lack the deletion of items that were
     * written and deleted after the last read, which a peer may know.
     *
     * @param snapshot all existing items
     * @param at position of the snapshot
     */
    public void applyStoreSnapshot(List<PublishedItem> snapshot, StorePosition at) {
        StorePosition before = items.position();
        boolean hasSnapshot = before.revision() > 0;
        if (hasSnapshot && at.era() > before.era()) {
            recordStoreRecovery();
        }
        List<PublishedItem> changes = applySnapshot(snapshot, at);
        if (hasSnapshot && !changes.isEmpty() && at.era() == before.era()) {
            snapshotListener.run();
        } else if (hasSnapshot && !changes.isEmpty()) {
            readListener.onRead(changes, before, at, true);
        }
    }

    /**
     * Applies a snapshot from the store or a peer.
     *
     * @param snapshot all existing items
     * @param at position of the snapshot
     * @return the items that have changed, including deleted ones
     */
    public List<PublishedItem> applySnapshot(List<PublishedItem> snapshot, StorePosition at) {
        List<ItemChange> newChanges = items.mergeSnapshot(snapshot, at);
        apply(newChanges);
        if (!initialLoadComplete && at.revision() > 0) {
            initialLoadComplete = true;
            decoder.completeInitialLoad();
        }
        return newChanges.stream().map(ItemChange::item).toList();
    }

    private void apply(List<ItemChange> newChanges) {
        for (ItemChange change : newChanges) {
            PublishedItem item = change.item();
            boolean leased = decoder.isLeased(item.key());
            long holdMillis = deletionHoldMillis();
            if (item.deleted() && holdMillis > 0 && (leased || change.uncertain())) {
                loop.runAfter(holdMillis + 1, () -> deleteUnlessRepublished(item));
            } else if (!item.deleted() && leased && change.uncertain()) {
                loop.runAfter(RESTORED_LEASE_DELAY_MILLIS, () -> addUnlessDeleted(item.key()));
            } else {
                decoder.applyChange(item, loop.nowNanos());
            }
        }
    }

    private void deleteUnlessRepublished(PublishedItem item) {
        if (items.find(item.key()).isEmpty()) {
            decoder.applyChange(item, loop.nowNanos());
        }
    }

    private void addUnlessDeleted(String key) {
        items.find(key).ifPresent(item -> decoder.applyChange(item, loop.nowNanos()));
    }
}
