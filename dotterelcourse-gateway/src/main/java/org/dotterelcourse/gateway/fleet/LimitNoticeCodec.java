package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.policy.rate.LimitNotice;

/** Encodes notices of request rate limits of workers as columns of a message, and decodes them. */
final class LimitNoticeCodec {
    private static final double NO_LIMIT = -1;

    private LimitNoticeCodec() {}

    static FleetProtos.WorkerLimits encode(List<LimitNotice> notices) {
        FleetProtos.WorkerLimits.Builder columns = FleetProtos.WorkerLimits.newBuilder();
        notices.forEach(notice -> columns.addWorker(notice.worker())
                .addPerSecond(notice.perSecond().orElse(NO_LIMIT))
                .addAgoMillis((int) notice.agoMillis()));
        return columns.build();
    }

    /**
     * Decodes columns of a message.
     *
     * @throws IllegalArgumentException if the columns differ in length
     */
    static List<LimitNotice> decode(FleetProtos.WorkerLimits columns) {
        int count = columns.getWorkerCount();
        if (columns.getPerSecondCount() != count || columns.getAgoMillisCount() != count) {
            throw new IllegalArgumentException(
                    "columns differ in length, expected " + count + " values (one per worker)");
        }
        List<LimitNotice> notices = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            notices.add(new LimitNotice(
                    columns.getWorker(i),
                    decode(columns.getPerSecond(i)),
                    Integer.toUnsignedLong(columns.getAgoMillis(i))));
        }
        return notices;
    }

    private static OptionalDouble decode(double perSecond) {
        return perSecond >= 0 ? OptionalDouble.of(perSecond) : OptionalDouble.empty();
    }
}
