package org.dotterelcourse.gateway.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos.PartReading;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.resumption.StreamKey;

/** Encodes which of the parts in a query a worker keeps, and decodes it. */
final class PartReadingCodec {
    private PartReadingCodec() {}

    static PartReading encode(WorkerEntry worker, PartReadings.Reading reading, List<StreamKey> asked) {
        PartReading.Builder message = PartReading.newBuilder()
                .setWorker(worker.id())
                .setIncarnation(worker.incarnation())
                .setVersion(worker.version())
                .setState(reading.state());
        for (int i = 0; i < asked.size(); i++) {
            if (reading.parts().contains(asked.get(i))) {
                message.addKept(i);
            }
        }
        return message.build();
    }

    /**
     * Decodes what a peer has read; a state that is not known here counts as not read.
     *
     * @throws IllegalArgumentException if a part was not asked for
     */
    static PartReadings.Reading decode(PartReading message, List<StreamKey> asked) {
        Set<StreamKey> parts = new HashSet<>();
        for (int place : message.getKeptList()) {
            if (place < 0 || place >= asked.size()) {
                throw new IllegalArgumentException("part " + place + " of " + asked.size() + " was not asked for");
            }
            parts.add(asked.get(place));
        }
        PartReading.State state =
                message.getState() == PartReading.State.UNRECOGNIZED ? PartReading.State.UNREAD : message.getState();
        return new PartReadings.Reading(state, parts);
    }
}
