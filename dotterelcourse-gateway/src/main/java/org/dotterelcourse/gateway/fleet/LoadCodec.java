package org.dotterelcourse.gateway.fleet;

import java.util.HashMap;
import java.util.Map;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.workers.PeerLoads;

/** Encodes loads of workers as columns of a message, and decodes them. */
final class LoadCodec {
    /** Decayed counts are transmitted as integers, in tenths. */
    static final double UNITS_PER_OUTCOME = 10;

    private LoadCodec() {}

    static FleetProtos.WorkerLoads encode(Map<Integer, PeerLoads.Load> loads) {
        FleetProtos.WorkerLoads.Builder columns = FleetProtos.WorkerLoads.newBuilder();
        boolean hasAsked = loads.values().stream().anyMatch(load -> load.asked() > 0);
        loads.forEach((worker, load) -> columns.addWorker(worker)
                .addInFlight(load.inFlight())
                .addInteractive(load.interactive())
                .addPrefillMillis((int) Math.round(load.prefillMillis()))
                .addSucceeded((int) Math.round(UNITS_PER_OUTCOME * load.succeeded()))
                .addFailed((int) Math.round(UNITS_PER_OUTCOME * load.failed())));
        if (hasAsked) {
            loads.values().forEach(load -> columns.addAsked(load.asked()));
        }
        return columns.build();
    }

    /**
     * Decodes columns of a message.
     *
     * @throws IllegalArgumentException if the columns differ in length
     */
    static Map<Integer, PeerLoads.Load> decode(FleetProtos.WorkerLoads columns) {
        int count = columns.getWorkerCount();
        if (columns.getInFlightCount() != count
                || columns.getInteractiveCount() != count
                || columns.getPrefillMillisCount() != count
                || columns.getSucceededCount() != count
                || columns.getFailedCount() != count
                || columns.getAskedCount() != count && columns.getAskedCount() != 0) {
            throw new IllegalArgumentException(
                    "columns differ in length, expected " + count + " values (one per worker)");
        }
        Map<Integer, PeerLoads.Load> loads = new HashMap<>(2 * count);
        for (int i = 0; i < count; i++) {
            PeerLoads.Load load = new PeerLoads.Load(
                    columns.getInFlight(i),
                    columns.getInteractive(i),
                    columns.getPrefillMillis(i),
                    columns.getSucceeded(i) / UNITS_PER_OUTCOME,
                    columns.getFailed(i) / UNITS_PER_OUTCOME,
                    columns.getAskedCount() == 0 ? 0 : columns.getAsked(i));
            loads.put(columns.getWorker(i), load);
        }
        return loads;
    }
}
