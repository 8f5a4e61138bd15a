package org.dotterelcourse.gateway.fleet;

import java.util.HashMap;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class LoadCodecTest {
    @Property(tries = 100, seed = "7")
    void decodedLoadsEqualTheEncodedOnes(@ForAll int worker, @ForAll @IntRange(max = 5_000) int count) {
        Map<Integer, PeerLoads.Load> loads = new HashMap<>();
        loads.put(worker, new PeerLoads.Load(count, count / 2, count * 3, count / 10.0, count / 5.0));
        loads.put(~worker, PeerLoads.Load.NONE);
        assertThat(LoadCodec.decode(LoadCodec.encode(loads))).isEqualTo(loads);
    }

    // A peer of another release sends one column less. If loads were assigned to the wrong workers, an apparently idle
    // one would get all requests.
    @Test
    void columnsOfDifferentLengthsAreRejected() {
        FleetProtos.WorkerLoads incomplete =
                FleetProtos.WorkerLoads.newBuilder().addWorker(1).addInFlight(2).build();
        assertThatThrownBy(() -> LoadCodec.decode(incomplete)).isInstanceOf(IllegalArgumentException.class);
    }
}
