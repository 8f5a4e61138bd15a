package org.dotterelcourse.standins;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.Future;

import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerResponse;

/** Which faults of one stand-in are on. Crashes act on its server, the rest is asked for by the stand-in itself. */
final class FaultSwitch {
    private final StandInServer server;
    private final Runnable changed;
    private final Map<Fault.Kind, Fault> on = new EnumMap<>(Fault.Kind.class);
    private Future<?> recovery;

    FaultSwitch(StandInServer server, Runnable changed) {
        this.server = server;
        this.changed = changed;
    }

    void set(Fault fault) {
        synchronized (this) {
            if (fault.kind() == Fault.Kind.RECOVER) {
                on.clear();
            } else {
                on.put(fault.kind(), fault);
            }
            scheduleRecovery(fault);
        }
        changed.run();
        server.repeatResponses(on(Fault.Kind.REPEAT));
        if (fault.kind() == Fault.Kind.CRASH) {
            server.refuse();
            server.reset();
        }
        if (fault.kind() == Fault.Kind.RECOVER) {
            server.listen();
        }
    }

    Publisher<Void> set(byte[] body, HttpServerResponse response) {
        Fault fault = Fault.parse(Json.parse(body));
        // A crash from the connection's own event loop would wait for itself to unbind.
        Timers.after(0, () -> set(fault));
        return Replies.json(response, 202, fault);
    }

    synchronized boolean on(Fault.Kind kind) {
        return on.containsKey(kind);
    }

    synchronized double factor() {
        Fault slow = on.get(Fault.Kind.SLOW);
        return slow == null ? 1.0 : slow.factor();
    }

    synchronized void close() {
        if (recovery != null) {
            recovery.cancel(false);
        }
    }

    private void scheduleRecovery(Fault fault) {
        if (recovery != null) {
            recovery.cancel(false);
            recovery = null;
        }
        if (fault.millis() > 0) {
            recovery = Timers.after(fault.millis() * 1_000_000L, () -> set(Fault.of(Fault.Kind.RECOVER)));
        }
    }
}
