package org.dotterelcourse.gateway.fleet;

import java.util.HashMap;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.policy.performance.TimingSums;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class TimingCodecTest {
    @Property(tries = 100, seed = "7")
    void decodedTimingsEqualTheEncodedOnes(@ForAll int worker, @ForAll @IntRange(max = 100_000) int value) {
        Map<Integer, TimingSums> timings = new HashMap<>();
        timings.put(worker, new TimingSums(value / 1_000.0, value, value / 500.0, value / 2, value * 3.0, value));
        timings.put(~worker, TimingSums.NONE);
        assertThat(TimingCodec.decode(TimingCodec.encode(timings))).isEqualTo(timings);
    }

    // A peer of another release sends one column less: timings would be assigned to the wrong workers.
    @Test
    void columnsOfDifferentLengthsAreRejected() {
        FleetProtos.WorkerTimings incomplete = FleetProtos.WorkerTimings.newBuilder()
                .addWorker(1)
                .addStepMicros(2)
                .build();
        assertThatThrownBy(() -> TimingCodec.decode(incomplete)).isInstanceOf(IllegalArgumentException.class);
    }

    // 100 workers must cost less than 2 KB (2,048 bytes) per second, which is one report.
    @Test
    void rowsOfHundredWorkersAreShort() {
        Map<Integer, TimingSums> timings = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            timings.put(31 * i, new TimingSums(11_000, 1_900, 20_000, 400, 2_500, 2_000));
        }
        assertThat(TimingCodec.encode(timings).getSerializedSize()).isLessThan(2_048);
    }
}
