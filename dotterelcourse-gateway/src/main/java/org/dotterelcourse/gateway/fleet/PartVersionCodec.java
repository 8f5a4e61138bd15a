package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.policy.resumption.StreamKey;

/** Encodes parts of prompts and the software versions of the workers that keep them, and decodes them. */
final class PartVersionCodec {
    private PartVersionCodec() {}

    /**
     * A part that is kept by workers.
     *
     * @param part key of the part
     * @param version software version of the workers; empty if there are several
     */
    record KeptPart(StreamKey part, String version) {}

    static FleetProtos.PartVersions encode(List<KeptPart> parts) {
        Map<String, Integer> places = new LinkedHashMap<>();
        FleetProtos.PartVersions.Builder columns = FleetProtos.PartVersions.newBuilder();
        for (KeptPart kept : parts) {
            columns.addPart(kept.part().value())
                    .addVersion(places.computeIfAbsent(kept.version(), version -> places.size()));
        }
        return columns.addAllVersions(places.keySet()).build();
    }

    /**
     * Decodes columns of a message.
     *
     * @throws IllegalArgumentException if the columns differ in length, or a version is missing
     */
    static List<KeptPart> decode(FleetProtos.PartVersions columns) {
        int count = columns.getPartCount();
        if (columns.getVersionCount() != count) {
            throw new IllegalArgumentException(
                    "columns differ in length, expected " + count + " values (one per part)");
        }
        List<KeptPart> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int place = columns.getVersion(i);
            if (place < 0 || place >= columns.getVersionsCount()) {
                throw new IllegalArgumentException(
                        "version " + place + " of " + columns.getVersionsCount() + " is missing");
            }
            parts.add(new KeptPart(new StreamKey(columns.getPart(i)), columns.getVersions(place)));
        }
        return parts;
    }
}
