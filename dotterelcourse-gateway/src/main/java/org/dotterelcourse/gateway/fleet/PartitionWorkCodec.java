package org.dotterelcourse.gateway.fleet;

import java.util.Arrays;

import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.dotterelcourse.policy.selection.LatencyClassWork;

/** Adds the work of each latency class to load reports, and takes it from received ones. */
final class PartitionWorkCodec {
    /**
     * Sender name under which the work reported by this process's collector is recorded, so that the sums of a new
     * collector replace those of its predecessor.
     */
    private static final String ANY_COLLECTOR = "";

    private PartitionWorkCodec() {}

    static void addTo(
            FleetProtos.LoadReport.Builder report, GatewayState state, PeerLoads.Scope scope, String receiver) {
        state.enginePartitions().forEach((upstream, partition) -> {
            LatencyClassWork work =
                    switch (scope) {
                        case GATHERED -> partition.reportersWork();
                        case OTHERS -> partition.workExcluding(receiver);
                        case OWN -> partition.localWork();
                    };
            report.addUpstreams(FleetProtos.UpstreamWork.newBuilder()
                    .setUpstream(upstream)
                    .addAllMillisByPace(
                            Arrays.stream(work.millis()).mapToObj(Math::round).toList()));
        });
    }

    /**
     * Records the work in a report. That of upstreams which are not configured is ignored: processes would otherwise report
     * removed upstreams to each other for ever.
     */
    static void record(
            String peer, PeerLoads.Scope scope, FleetProtos.LoadReport report, GatewayState state, long nowNanos) {
        for (FleetProtos.UpstreamWork work : report.getUpstreamsList()) {
            double[] millis = work.getMillisByPaceList().stream()
                    .mapToDouble(Long::doubleValue)
                    .toArray();
            boolean configured = state.table()
                    .filter(table -> table.hasUpstream(work.getUpstream()))
                    .isPresent();
            if (configured && millis.length == LatencyClassWork.none().millis().length) {
                boolean ownOnly = scope == PeerLoads.Scope.OWN;
                String sender = scope == PeerLoads.Scope.OTHERS ? ANY_COLLECTOR : peer;
                state.enginePartition(work.getUpstream())
                        .recordPeerWork(sender, ownOnly, new LatencyClassWork(millis), nowNanos);
            }
        }
    }
}
