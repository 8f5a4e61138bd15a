package org.dotterelcourse.gateway.forward;

import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.gateway.workers.Placement;

/**
 * Records the progress of one attempt's stream.
 *
 * @param counters the counters of this process
 * @param placement the attempt, which ends with the stream
 * @param share the memory of the worker's response, which is released at its end
 * @param eventListener called with each event before it is passed on
 * @param completionListener called when the worker's response is complete
 */
record StreamProgress(
        Counters counters,
        Placement placement,
        ResponseMemory.Share share,
        Consumer<EventFramer.Event> eventListener,
        Runnable completionListener)
        implements EventRelay.Listener {

    /**
     * Counters of what streams cost.
     *
     * @param packets parts of workers' responses, each of which costs a wake-up or a read
     * @param events events passed on; several events of one packet cost one write
     */
    record Counters(Counter packets, Counter events) {
        static Counters of(MetricRegistry registry) {
            return new Counters(
                    registry.counter("gateway.efficiency.packets"), registry.counter("gateway.efficiency.events"));
        }
    }

    @Override
    public void onPacket(int incompleteBytes) {
        counters.packets().inc();
        share.set(incompleteBytes);
    }

    @Override
    public void onEvent(EventFramer.Event event) {
        counters.events().inc();
        placement.recordFirstEvent();
        eventListener.accept(event);
    }

    @Override
    public void onCompletion() {
        completionListener.run();
    }

    @Override
    public void onEnd() {
        share.close();
        placement.end();
    }
}
