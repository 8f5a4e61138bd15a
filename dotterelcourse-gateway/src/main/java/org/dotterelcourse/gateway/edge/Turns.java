package org.dotterelcourse.gateway.edge;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import org.dotterelcourse.gateway.GatewayLoop;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Lets requests go on a few at a time while the thread is behind, with a look at all connections in between. Used on the
 * gateway's loop only.
 *
 * <p>It answers the return of all processes after a loss: their first requests take some hundred milliseconds each to be
 * sent on, and were read together. Clients give up meanwhile; their closed connections show only when the thread looks at
 * them, and workers would be given work that nobody waits for.
 */
final class Turns {
    /** Above this the thread is behind: well above how late its timers usually are, and below the time clients wait. */
    private static final long BEHIND_MILLIS = 100;

    /** How long requests go on without a look, unless one takes longer: far below the time in which clients give up. */
    private static final long TURN_NANOS = 20_000_000L;

    /** The shortest time. A timer that is set by another one runs only when all connections have been looked at. */
    private static final long LOOK_MILLIS = 1;

    private final GatewayLoop loop;
    private final Set<MonoSink<Void>> waiting = new LinkedHashSet<>();
    private boolean going;

    Turns(GatewayLoop loop) {
        this.loop = loop;
    }

    /** Completes when a request may go on: at once while the thread keeps up. */
    Mono<Void> next() {
        return Mono.defer(() -> {
            boolean keepsUp = waiting.isEmpty() && loop.lagMillis() < BEHIND_MILLIS;
            return keepsUp ? Mono.empty() : Mono.create(this::join);
        });
    }

    private void join(MonoSink<Void> sink) {
        waiting.add(sink);
        sink.onDispose(() -> waiting.remove(sink));
        if (!going) {
            going = true;
            loop.runAfter(LOOK_MILLIS, () -> loop.runAfter(LOOK_MILLIS, this::go));
        }
    }

    private void go() {
        long endNanos = loop.nowNanos() + TURN_NANOS;
        while (!waiting.isEmpty() && loop.nowNanos() - endNanos < 0) {
            Iterator<MonoSink<Void>> first = waiting.iterator();
            MonoSink<Void> sink = first.next();
            first.remove();
            sink.success();
        }
        going = !waiting.isEmpty();
        if (going) {
            loop.runAfter(LOOK_MILLIS, this::go);
        }
    }
}
