package org.dotterelcourse.gateway.fleet;

import java.time.Clock;
import java.util.List;

import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.routing.RoutingTable;
import org.dotterelcourse.gateway.routing.UpstreamSpec;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.selection.TransferCost;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PartitionWorkCodecTest {
    private final GatewayState state = new GatewayState(new GatewayState.RetryLimit(0.2, 50, 10_000_000_000L));

    @BeforeEach
    void start() {
        Kernel kernel =
                new Kernel().register(new AuditTrail(Clock.systemUTC(), "")).register(state);
        assertThat(kernel.start()).isEmpty();
    }

    // Guards against upstreams that processes report to each other for ever after their removal.
    @Test
    void onlyWorkOfConfiguredUpstreamsIsKept() {
        receive("a");
        assertThat(state.enginePartitions()).isEmpty();
        state.activate(table(1, "a"));
        receive("a");
        receive("other");
        assertThat(state.enginePartitions()).containsOnlyKeys("a");
        assertThat(state.enginePartition("a").workExcluding("").millis()[0])
                .isEqualTo(state.enginePartition("a").localWork().millis()[0] + 7_000);
        state.activate(table(2, "b"));
        receive("a");
        assertThat(state.enginePartitions()).isEmpty();
    }

    private void receive(String upstream) {
        FleetProtos.LoadReport report = FleetProtos.LoadReport.newBuilder()
                .addUpstreams(FleetProtos.UpstreamWork.newBuilder()
                        .setUpstream(upstream)
                        .addAllMillisByPace(List.of(7_000L, 0L, 0L)))
                .build();
        PartitionWorkCodec.record("peer", PeerLoads.Scope.OWN, report, state, 0);
    }

    private static RoutingTable table(long number, String upstream) {
        return RoutingTable.builder(number)
                .upstream(new UpstreamSpec(upstream, true, 1, TransferCost.unsupported(), ColdStart.none()))
                .build();
    }
}
