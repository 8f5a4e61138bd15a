package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The asks of one {@link CellClient} by number. Also builds the messages that report them to the owner. */
final class AskTable {
    private static final int MAX_ENTRIES_PER_PART = 256;

    private final Map<Long, ClientAsk> byNumber = new LinkedHashMap<>();

    Map<Long, ClientAsk> byNumber() {
        return byNumber;
    }

    ClientAsk find(long number) {
        return byNumber.get(number);
    }

    List<ClientAsk> snapshot() {
        return List.copyOf(byNumber.values());
    }

    static GrantMessage.Ask askMessage(ClientAsk ask, long nowNanos) {
        return new GrantMessage.Ask(ask.number(), Math.max(0, nowNanos - ask.arrivalNanos()), ask.terms());
    }

    GrantMessage.Renew renewalMessage() {
        List<GrantMessage.Held> held = new ArrayList<>();
        List<Long> waiting = new ArrayList<>();
        for (ClientAsk ask : byNumber.values()) {
            if (ask.state() == ClientAsk.State.GRANTED) {
                held.add(heldGrant(ask));
            } else if (ask.state() == ClientAsk.State.QUEUED) {
                waiting.add(ask.number());
            }
        }
        return new GrantMessage.Renew(held, waiting);
    }

    /** Registration of all grants and waiting asks, in parts that are too small to block a connection. */
    List<GrantMessage.Reregister> registrationMessages(long registration, long nowNanos) {
        List<GrantMessage.Outstanding> grants = new ArrayList<>();
        List<GrantMessage.Ask> waiting = new ArrayList<>();
        for (ClientAsk ask : byNumber.values()) {
            if (ask.state() == ClientAsk.State.GRANTED) {
                grants.add(outstandingGrant(ask, nowNanos));
            } else if (ask.isWaiting() && ask.state() != ClientAsk.State.LOCAL) {
                waiting.add(askMessage(ask, nowNanos));
            }
        }
        int parts = Math.max(1, Math.max(partCount(grants.size()), partCount(waiting.size())));
        List<GrantMessage.Reregister> messages = new ArrayList<>(parts);
        for (int part = 0; part < parts; part++) {
            messages.add(new GrantMessage.Reregister(
                    registration, part, parts, partOf(grants, part), partOf(waiting, part)));
        }
        return messages;
    }

    private static GrantMessage.Outstanding outstandingGrant(ClientAsk ask, long nowNanos) {
        long ageNanos = Math.max(0, nowNanos - ask.arrivalNanos());
        return new GrantMessage.Outstanding(heldGrant(ask), ask.worker(), ageNanos, ask.terms());
    }

    private static GrantMessage.Held heldGrant(ClientAsk ask) {
        return new GrantMessage.Held(ask.number(), ask.grant(), ask.units());
    }

    private static int partCount(int size) {
        return (size + MAX_ENTRIES_PER_PART - 1) / MAX_ENTRIES_PER_PART;
    }

    private static <T> List<T> partOf(List<T> list, int part) {
        int from = part * MAX_ENTRIES_PER_PART;
        if (from >= list.size()) {
            return List.of();
        }
        return List.copyOf(list.subList(from, Math.min(list.size(), from + MAX_ENTRIES_PER_PART)));
    }
}
