package org.dotterelcourse.gateway.fleet;

import java.util.HashMap;
import java.util.Map;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.workers.PeerLoads;

/** Loads of workers as columns of a message, and back. */
final class LoadCodec {
    /** Counts that fade are told in tenths. */
    private static final double TENTHS = 10;

    private LoadCodec() {}

    static FleetProtos.WorkerLoads encode(Map<Integer, PeerLoads.Load> loads) {
        FleetProtos.WorkerLoads.Builder columns = FleetProtos.WorkerLoads.newBuilder();
        loads.forEach((key, load) -> columns.addWorker(key)
                .addInFlight(load.inFlight())
                .addInteractive(load.interactive())
                .addPrefillMillis((int) Math.round(load.prefillMillis()))
                .addSucceeded((int) Math.round(TENTHS * load.succeeded()))
                .addFailed((int) Math.round(TENTHS * load.failed())));
        return columns.build();
    }

    /**
     * Reads columns.
     *
     * @throws IllegalArgumentException if they don't have the same length
     */
    static Map<Integer, PeerLoads.Load> decode(FleetProtos.WorkerLoads columns) {
        int count = columns.getWorkerCount();
        if (columns.getInFlightCount() != count
                || columns.getInteractiveCount() != count
                || columns.getPrefillMillisCount() != count
                || columns.getSucceededCount() != count
                || columns.getFailedCount() != count) {
            throw new IllegalArgumentException("columns of different lengths, " + count + " workers");
        }
        Map<Integer, PeerLoads.Load> loads = new HashMap<>();
        for (int i = 0; i < count; i++) {
            PeerLoads.Load load = new PeerLoads.Load(
                    columns.getInFlight(i),
                    columns.getInteractive(i),
                    columns.getPrefillMillis(i),
                    columns.getSucceeded(i) / TENTHS,
                    columns.getFailed(i) / TENTHS);
            loads.put(columns.getWorker(i), load);
        }
        return loads;
    }
}
