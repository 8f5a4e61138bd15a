package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.List;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.policy.quarantine.CrashCause;
import org.dotterelcourse.policy.quarantine.CrashNotice;
import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;
import org.dotterelcourse.policy.quarantine.Fingerprint;

/** Encodes notices of requests that may crash workers as columns of a message, and decodes them. */
final class CrashNoticeCodec {
    private CrashNoticeCodec() {}

    static FleetProtos.CrashNotices encode(List<CrashNotice> notices) {
        FleetProtos.CrashNotices.Builder columns = FleetProtos.CrashNotices.newBuilder();
        notices.forEach(
                notice -> columns.addRequest(notice.cause().fingerprint().value())
                        .addVersion(notice.cause().version())
                        .addEnding(encode(notice.ending()))
                        .addWorker(notice.worker())
                        .addRunMillis((int) notice.runMillis())
                        .addAgoMillis((int) notice.agoMillis()));
        return columns.build();
    }

    private static FleetProtos.CrashNotices.Ending encode(Ending ending) {
        return switch (ending) {
            case FINISHED -> FleetProtos.CrashNotices.Ending.FINISHED;
            case CRASHED_BEFORE_OUTPUT -> FleetProtos.CrashNotices.Ending.CRASHED_BEFORE_OUTPUT;
            case CRASHED_DURING_OUTPUT -> FleetProtos.CrashNotices.Ending.CRASHED_DURING_OUTPUT;
        };
    }

    /**
     * Decodes columns of a message. Notices with endings that only a newer release knows are skipped.
     *
     * @throws IllegalArgumentException if the columns differ in length
     */
    static List<CrashNotice> decode(FleetProtos.CrashNotices columns) {
        int count = columns.getRequestCount();
        if (columns.getEndingCount() != count
                || columns.getWorkerCount() != count
                || columns.getRunMillisCount() != count
                || columns.getAgoMillisCount() != count
                || columns.getVersionCount() != 0 && columns.getVersionCount() != count) {
            throw new IllegalArgumentException(
                    "columns differ in length, expected " + count + " values (one per request)");
        }
        List<CrashNotice> notices = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (columns.getEnding(i) != FleetProtos.CrashNotices.Ending.UNRECOGNIZED) {
                notices.add(new CrashNotice(
                        new CrashCause(
                                new Fingerprint(columns.getRequest(i)),
                                columns.getVersionCount() == 0 ? 0 : columns.getVersion(i)),
                        decode(columns.getEnding(i)),
                        columns.getWorker(i),
                        Integer.toUnsignedLong(columns.getRunMillis(i)),
                        Integer.toUnsignedLong(columns.getAgoMillis(i))));
            }
        }
        return notices;
    }

    private static Ending decode(FleetProtos.CrashNotices.Ending ending) {
        return switch (ending) {
            case CRASHED_BEFORE_OUTPUT -> Ending.CRASHED_BEFORE_OUTPUT;
            case CRASHED_DURING_OUTPUT -> Ending.CRASHED_DURING_OUTPUT;
            default -> Ending.FINISHED;
        };
    }
}
