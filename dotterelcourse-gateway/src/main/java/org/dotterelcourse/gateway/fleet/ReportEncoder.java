package org.dotterelcourse.gateway.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import com.google.protobuf.CodedOutputStream;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.published.Publications;
import org.dotterelcourse.gateway.published.StoreFollowerElection;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.dotterelcourse.policy.quarantine.CrashNotice;
import org.dotterelcourse.policy.rate.LimitNotice;
import org.dotterelcourse.policy.selection.CachedPrefixes;

/**
 * Encodes the load reports of one period. What all receivers get is encoded once; a report is the concatenation of that and
 * of its own fields, as Protocol Buffers allow.
 */
final class ReportEncoder {
    private static final int LENGTH_DELIMITED = 2;

    private final GatewayState state;
    private final Publications publications;
    private final TimingExchange timings;
    private byte[] common = {};
    private long periodNanos;
    private boolean hasNotices;

    ReportEncoder(GatewayState state, Publications publications, TimingExchange timings) {
        this.state = state;
        this.publications = publications;
        this.timings = timings;
    }

    /** Takes the notices that are due and encodes what all reports of this period have in common. */
    void beginPeriod(long nowNanos) {
        periodNanos = nowNanos;
        List<CrashNotice> crashes = state.quarantine().takeNotices(nowNanos);
        List<LimitNotice> limits = state.workers().limits().takeNotices(nowNanos);
        List<LimitNotice> brittle = state.workers().brittle().statements().takeNotices(nowNanos);
        hasNotices = !crashes.isEmpty() || !limits.isEmpty() || !brittle.isEmpty();
        FleetProtos.LoadReport.Builder report = FleetProtos.LoadReport.newBuilder()
                .setRevision(publications.position().revision())
                .setEra(publications.position().era());
        for (StoreFollowerElection.Follower follower :
                publications.followerElection().followers(nowNanos)) {
            report.addFollowers(follower.id())
                    .addFollowerAnswers(follower.answer())
                    .addFollowerMillis((int) follower.ageMillis());
        }
        if (!crashes.isEmpty()) {
            report.setCrashes(CrashNoticeCodec.encode(crashes));
        }
        if (!limits.isEmpty()) {
            report.setLimits(LimitNoticeCodec.encode(limits));
        }
        if (!brittle.isEmpty()) {
            report.setBrittle(LimitNoticeCodec.encode(brittle));
        }
        common = report.build().toByteArray();
    }

    /** Returns whether the reports of this period contain notices, and must therefore be sent. */
    boolean hasNotices() {
        return hasNotices;
    }

    /**
     * Encodes one report of this period.
     *
     * @param kind what the loads and the work of the report cover
     * @param receiver the process that is left out of a report of the kind {@code OTHERS}, otherwise not used
     * @param workers an encoded {@code WorkerLoads} message
     * @param locations locations of prompt parts to report
     */
    byte[] encode(
            FleetProtos.LoadReport.Kind kind,
            String receiver,
            byte[] workers,
            List<CachedPrefixes.PartLocation> locations) {
        FleetProtos.LoadReport.Builder report =
                FleetProtos.LoadReport.newBuilder().setKind(kind);
        for (CachedPrefixes.PartLocation location : locations) {
            report.addParts(location.part()).addPartWorkers(location.worker());
        }
        PeerLoads.Scope scope = FleetExchange.scope(kind);
        PartitionWorkCodec.addTo(report, state, scope, receiver);
        timings.addTo(report, scope, receiver, periodNanos);
        return concatenate(common, report.build(), workers);
    }

    /** Concatenates encoded common fields, the fields of one report and its encoded {@code WorkerLoads} message. */
    static byte[] concatenate(byte[] common, FleetProtos.LoadReport report, byte[] workers) {
        ByteArrayOutputStream bytes =
                new ByteArrayOutputStream(common.length + report.getSerializedSize() + workers.length + Long.BYTES);
        try {
            bytes.write(common);
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            report.writeTo(out);
            out.writeTag(FleetProtos.LoadReport.WORKERS_FIELD_NUMBER, LENGTH_DELIMITED);
            out.writeUInt32NoTag(workers.length);
            out.writeRawBytes(workers);
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
