package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The asks of one {@link CellClient}, and the messages that describe them. */
final class ClientBook {
    private static final int PART = 256;

    private final Map<Long, ClientAsk> asks = new LinkedHashMap<>();

    Map<Long, ClientAsk> asks() {
        return asks;
    }

    ClientAsk find(long number) {
        return asks.get(number);
    }

    List<ClientAsk> all() {
        return List.copyOf(asks.values());
    }

    static GrantMessage.Ask ask(ClientAsk ask, long nowNanos) {
        return new GrantMessage.Ask(ask.number(), Math.max(0, nowNanos - ask.arrivalNanos()), ask.terms());
    }

    GrantMessage.Renew renewal() {
        List<GrantMessage.Held> held = new ArrayList<>();
        List<Long> waiting = new ArrayList<>();
        for (ClientAsk ask : asks.values()) {
            if (ask.state() == ClientAsk.State.GRANTED) {
                held.add(held(ask));
            } else if (ask.state() == ClientAsk.State.QUEUED) {
                waiting.add(ask.number());
            }
        }
        return new GrantMessage.Renew(held, waiting);
    }

    /** Everything that an owner has to know, in parts that stay small enough not to block a connection. */
    List<GrantMessage.Reregister> registration(long number, long nowNanos) {
        List<GrantMessage.Outstanding> grants = new ArrayList<>();
        List<GrantMessage.Ask> waiting = new ArrayList<>();
        for (ClientAsk ask : asks.values()) {
            if (ask.state() == ClientAsk.State.GRANTED) {
                grants.add(outstanding(ask, nowNanos));
            } else if (ask.waits() && ask.state() != ClientAsk.State.LOCAL) {
                waiting.add(ask(ask, nowNanos));
            }
        }
        int parts = Math.max(1, Math.max(parts(grants.size()), parts(waiting.size())));
        List<GrantMessage.Reregister> messages = new ArrayList<>(parts);
        for (int part = 0; part < parts; part++) {
            messages.add(new GrantMessage.Reregister(number, part, parts, slice(grants, part), slice(waiting, part)));
        }
        return messages;
    }

    private static GrantMessage.Outstanding outstanding(ClientAsk ask, long nowNanos) {
        long age = Math.max(0, nowNanos - ask.arrivalNanos());
        return new GrantMessage.Outstanding(held(ask), ask.worker(), age, ask.terms());
    }

    private static GrantMessage.Held held(ClientAsk ask) {
        return new GrantMessage.Held(ask.number(), ask.grant(), ask.units());
    }

    private static int parts(int size) {
        return (size + PART - 1) / PART;
    }

    private static <T> List<T> slice(List<T> list, int part) {
        int from = part * PART;
        if (from >= list.size()) {
            return List.of();
        }
        return List.copyOf(list.subList(from, Math.min(list.size(), from + PART)));
    }
}
