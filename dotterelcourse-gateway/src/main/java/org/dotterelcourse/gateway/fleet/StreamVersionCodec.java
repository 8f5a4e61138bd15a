package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.policy.resumption.StreamKey;
import org.dotterelcourse.policy.resumption.StreamVersionNotice;

/** Encodes notices of the software versions of streams as columns of a message, and decodes them. */
final class StreamVersionCodec {
    private StreamVersionCodec() {}

    static FleetProtos.StreamVersions encode(List<StreamVersionNotice> notices) {
        Map<String, Integer> places = new LinkedHashMap<>();
        FleetProtos.StreamVersions.Builder columns = FleetProtos.StreamVersions.newBuilder();
        for (StreamVersionNotice notice : notices) {
            columns.addStream(notice.stream().value())
                    .addVersion(places.computeIfAbsent(notice.version(), version -> places.size()))
                    .addAttempt(notice.attempt());
        }
        return columns.addAllVersions(places.keySet()).build();
    }

    /**
     * Decodes columns of a message.
     *
     * @throws IllegalArgumentException if the columns differ in length, or a version is missing
     */
    static List<StreamVersionNotice> decode(FleetProtos.StreamVersions columns) {
        int count = columns.getStreamCount();
        if (columns.getVersionCount() != count || columns.getAttemptCount() != count) {
            throw new IllegalArgumentException(
                    "columns differ in length, expected " + count + " values (one per stream)");
        }
        List<StreamVersionNotice> notices = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int place = columns.getVersion(i);
            if (place < 0 || place >= columns.getVersionsCount()) {
                throw new IllegalArgumentException(
                        "version " + place + " of " + columns.getVersionsCount() + " is missing");
            }
            notices.add(new StreamVersionNotice(
                    new StreamKey(columns.getStream(i)), columns.getVersions(place), columns.getAttempt(i)));
        }
        return notices;
    }
}
