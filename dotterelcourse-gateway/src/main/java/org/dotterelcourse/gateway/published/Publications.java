package org.dotterelcourse.gateway.published;

import java.time.Duration;
import java.util.List;

import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;

/**
 * Takes what the store and peers tell of published items, and has the news decoded. Used on the gateway's loop only.
 *
 * <p>Workers renew their entries; while the store is away these run out. A process that dropped all of them in the
 * moment of the store's return would refuse everything for a second or two. So such deletions take effect a little
 * after the return, unless the worker has come back by then.
 */
public final class Publications implements Service {
    /** The name that it is found by. */
    public static final ServiceName<Publications> NAME = new ServiceName<>("publications", Publications.class);

    /** Live workers are back within two seconds of the store's return; the bound on new work at a leaving one is two. */
    private static final long HOLD_MILLIS = 1_900;

    /**
     * How long an entry that had been deleted is left out after it has come back with a copy. One that nobody renews runs
     * out in this time.
     */
    private static final long COPIED_MILLIS = 5_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PublishedItems items = new PublishedItems();
    private final StoreFollowerElection followerElection;
    private final ItemDecoder decoder;
    private GatewayLoop loop;
    private long holdUntilNanos;
    private boolean complete;
    private ReadListener readListener = (changes, after, upTo) -> {};

    /** Hears of changes that this process has read from the store. */
    @FunctionalInterface
    public interface ReadListener {
        /**
         * Changes were read.
         *
         * @param changes the changes
         * @param after the position that they follow
         * @param upTo the position up to which they are complete
         */
        void read(List<PublishedItem> changes, StorePosition after, StorePosition upTo);
    }

    /**
     * Makes publications of which nothing is known.
     *
     * @param decoder takes the news
     * @param bound the time within which changes must be in force
     * @param incarnation rises with every start of a process of this name
     */
    public Publications(ItemDecoder decoder, Duration bound, long incarnation) {
        this.decoder = decoder;
        this.followerElection = new StoreFollowerElection(bound, incarnation);
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
        holdUntilNanos = loop.nowNanos();
        return List.of();
    }

    @Override
    public void stop() {
        // It holds no resources.
    }

    /**
     * The position up to which everything is known.
     *
     * @return {@link StorePosition#NONE} before the first whole state
     */
    public StorePosition position() {
        return items.position();
    }

    /**
     * All items that exist, for a peer that is behind.
     *
     * @return the items
     */
    public List<PublishedItem> live() {
        return items.live();
    }

    /**
     * Whether this process follows the store or relies on peers.
     *
     * @return the decision's state
     */
    public StoreFollowerElection followerElection() {
        return followerElection;
    }

    /**
     * Calls back with changes from the store.
     *
     * @param listener must not block; there is one
     */
    public void onRead(ReadListener listener) {
        readListener = listener;
    }

    /** The store answers again after it did not. */
    public void recordStoreRecovery() {
        hold(HOLD_MILLIS);
    }

    /**
     * A peer has seen the store come back.
     *
     * @param millis how much longer deletions of renewed items are held back, 0 if they are not
     */
    public void hold(long millis) {
        long untilNanos = loop.nowNanos() + millis * NANOS_PER_MILLI;
        if (millis > 0 && untilNanos - holdUntilNanos > 0) {
            holdUntilNanos = untilNanos;
        }
    }

    /**
     * How much longer deletions of renewed items are held back.
     *
     * @return milliseconds, 0 if they are not
     */
    public long holdMillis() {
        return Math.max(0, (holdUntilNanos - loop.nowNanos()) / NANOS_PER_MILLI);
    }

    /**
     * Changes were read from the store.
     *
     * @param changes the changes
     * @param after the position that they follow, one that was known
     * @param upTo the position up to which they are complete
     */
    public void applyStoreChanges(List<PublishedItem> changes, StorePosition after, StorePosition upTo) {
        apply(items.merge(changes, after, upTo));
        if (!changes.isEmpty()) {
            readListener.read(changes, after, upTo);
        }
    }

    /**
     * Changes came from a peer; some may be missing before them.
     *
     * @param changes the changes
     * @param after the position that they follow
     * @param upTo the position up to which they are complete
     * @return whether any of them was new
     */
    public boolean applyRelayedChanges(List<PublishedItem> changes, StorePosition after, StorePosition upTo) {
        List<ItemChange> news = items.merge(changes, after, upTo);
        apply(news);
        return !news.isEmpty();
    }

    /**
     * The whole state was read from the store. Peers are told what has changed in it.
     *
     * @param state all items
     * @param at its position
     */
    public void applyStoreSnapshot(List<PublishedItem> state, StorePosition at) {
        StorePosition before = items.position();
        boolean known = before.revision() > 0;
        if (known && at.era() > before.era()) {
            recordStoreRecovery();
        }
        List<PublishedItem> news = state(state, at);
        if (known && !news.isEmpty()) {
            readListener.read(news, before, at);
        }
    }

    /**
     * A whole state is known, from the store or a peer.
     *
     * @param state all items
     * @param at its position
     * @return what has changed in it
     */
    public List<PublishedItem> state(List<PublishedItem> state, StorePosition at) {
        List<ItemChange> news = items.replace(state, at);
        apply(news);
        if (!complete && at.revision() > 0) {
            complete = true;
            decoder.completeInitialLoad();
        }
        return news.stream().map(ItemChange::item).toList();
    }

    private void apply(List<ItemChange> news) {
        for (ItemChange change : news) {
            PublishedItem item = change.item();
            boolean renewed = decoder.isLeased(item.key());
            long heldMillis = holdMillis();
            if (item.deleted() && heldMillis > 0 && (renewed || change.doubtful())) {
                loop.runAfter(heldMillis + 1, () -> deleteUnlessBack(item));
            } else if (!item.deleted() && renewed && change.doubtful()) {
                loop.runAfter(COPIED_MILLIS, () -> addUnlessGone(item.key()));
            } else {
                decoder.applyChange(item, loop.nowNanos());
            }
        }
    }

    private void deleteUnlessBack(PublishedItem item) {
        if (items.find(item.key()).isEmpty()) {
            decoder.applyChange(item, loop.nowNanos());
        }
    }

    private void addUnlessGone(String key) {
        items.find(key).ifPresent(item -> decoder.applyChange(item, loop.nowNanos()));
    }
}
