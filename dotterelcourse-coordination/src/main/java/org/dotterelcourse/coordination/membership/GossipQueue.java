package org.dotterelcourse.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates waiting to be piggybacked on messages, the least transmitted first. Each update is transmitted a number of
 * times that grows with the logarithm of the fleet's size, which reaches all members with high probability.
 */
final class GossipQueue {

    private static final int RETRANSMIT_FACTOR = 3;

    private final Map<String, PendingUpdate> pending = new LinkedHashMap<>();

    /** Adds an update. It replaces a pending update about the same member. */
    void add(Update update) {
        pending.put(update.id().name(), new PendingUpdate(update));
    }

    /**
     * Adds an update if the member has lost its links to the workers since, or has them again. Other changes of what members
     * publish reach all members with the messages that are sent anyway, which takes many seconds in a large fleet.
     */
    void addIfUrgent(Payload before, Update update) {
        if (before.cutOff() != update.payload().cutOff()) {
            add(update);
        }
    }

    /**
     * Counts the same update from another member as a transmission. Without this, many simultaneous joins would keep
     * each member busy for minutes with updates that all members already have.
     */
    void recordReceived(Update update, int fleetSize) {
        PendingUpdate entry = pending.get(update.id().name());
        if (entry == null) {
            return;
        }
        boolean same = entry.update.id().equals(update.id())
                && entry.update.state() == update.state()
                && entry.update.payloadVersion() <= update.payloadVersion();
        if (same) {
            countTransmission(entry, fleetSize);
        }
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    int size() {
        return pending.size();
    }

    /** Returns the least transmitted updates for one message, up to a number of updates and of estimated bytes. */
    List<Update> take(int maxUpdates, int maxBytes, int fleetSize) {
        if (pending.isEmpty()) {
            return List.of();
        }
        List<PendingUpdate> candidates = new ArrayList<>(pending.values());
        candidates.sort(Comparator.comparingInt(candidate -> candidate.transmissions));
        List<Update> taken = new ArrayList<>();
        int bytes = 0;
        for (PendingUpdate candidate : candidates) {
            bytes += UpdateSize.of(candidate.update);
            if (taken.size() >= maxUpdates || bytes > maxBytes) {
                break;
            }
            taken.add(candidate.update);
            countTransmission(candidate, fleetSize);
        }
        return taken;
    }

    /** Returns the rounds of gossip that reach the whole fleet if each informed member sends an update to two others. */
    static int rounds(int fleetSize) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize);
    }

    private void countTransmission(PendingUpdate entry, int fleetSize) {
        entry.transmissions++;
        if (entry.transmissions >= RETRANSMIT_FACTOR * rounds(fleetSize)) {
            pending.remove(entry.update.id().name());
        }
    }

    /** An update and the number of its transmissions, including those received from other members. */
    private static final class PendingUpdate {
        private final Update update;
        private int transmissions;

        private PendingUpdate(Update update) {
            this.update = update;
        }
    }
}
