package org.dotterelcourse.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * News that is passed on with messages. Each piece is sent a number of times that grows with the logarithm of the
 * fleet, which lets it reach all members with high probability; what was sent least goes first.
 */
final class Rumours {

    private static final int REPEAT_FACTOR = 3;

    private final Map<String, Rumour> rumours = new LinkedHashMap<>();

    /** Newer news about the same member takes the place of the old. */
    void add(Update update) {
        rumours.put(update.id().name(), new Rumour(update));
    }

    /**
     * Notes that another member sent the same statement. News that all have is heard as often as it is sent; without
     * this, many joins at once would keep each member busy for minutes with what everybody knows.
     */
    void heard(Update update, int fleetSize) {
        Rumour rumour = rumours.get(update.id().name());
        if (rumour == null) {
            return;
        }
        boolean same = rumour.update.id().equals(update.id()) && rumour.update.state() == update.state();
        if (same) {
            count(rumour, fleetSize);
        }
    }

    boolean isEmpty() {
        return rumours.isEmpty();
    }

    int size() {
        return rumours.size();
    }

    /** Takes the least sent news for one message, within a budget of bytes. */
    List<Update> take(int maxUpdates, int maxBytes, int fleetSize) {
        if (rumours.isEmpty()) {
            return List.of();
        }
        List<Rumour> candidates = new ArrayList<>(rumours.values());
        candidates.sort(Comparator.comparingInt(rumour -> rumour.sent));
        List<Update> taken = new ArrayList<>();
        int bytes = 0;
        for (Rumour rumour : candidates) {
            bytes += UpdateSize.of(rumour.update);
            if (taken.size() >= maxUpdates || bytes > maxBytes) {
                break;
            }
            taken.add(rumour.update);
            count(rumour, fleetSize);
        }
        return taken;
    }

    /** Rounds that news needs to reach a fleet when each member that has it tells two others. */
    static int rounds(int fleetSize) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize);
    }

    private void count(Rumour rumour, int fleetSize) {
        rumour.sent++;
        if (rumour.sent >= REPEAT_FACTOR * rounds(fleetSize)) {
            rumours.remove(rumour.update.id().name());
        }
    }

    /** One piece of news and how often it was sent. */
    private static final class Rumour {
        private final Update update;
        private int sent;

        private Rumour(Update update) {
            this.update = update;
        }
    }
}
