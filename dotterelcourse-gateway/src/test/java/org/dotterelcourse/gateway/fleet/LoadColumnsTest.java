package org.dotterelcourse.gateway.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LoadColumnsTest {
    // Guards against an encoding that peers decode to other loads than those of LoadCodec.
    @Test
    void encodesWhatLoadCodecEncodes() throws InvalidProtocolBufferException {
        Random random = new Random(1);
        for (int rows = 0; rows < 300; rows++) {
            Map<Integer, PeerLoads.Load> loads = loads(rows, random);
            Map<Integer, PeerLoads.Load> expected = LoadCodec.decode(LoadCodec.encode(loads));
            assertThat(decode(new LoadColumns(loads).encode())).isEqualTo(expected);
            Map<Integer, PeerLoads.Load> replaced = new HashMap<>();
            loads.keySet().stream().limit(5).forEach(worker -> replaced.put(worker, load(random)));
            Map<Integer, PeerLoads.Load> changed = new HashMap<>(loads);
            changed.putAll(replaced);
            assertThat(decode(new LoadColumns(loads).encode(replaced)))
                    .isEqualTo(LoadCodec.decode(LoadCodec.encode(changed)));
        }
    }

    // Guards against reports ten times a second whose only difference is that recent outcomes have decayed.
    @Test
    void decayedOutcomesAloneAreNotNews() {
        LoadColumns before = new LoadColumns(Map.of(1, new PeerLoads.Load(2, 1, 30, 4, 2)));
        assertThat(new LoadColumns(Map.of(1, new PeerLoads.Load(2, 1, 30, 3, 1))).isNews(before))
                .isFalse();
        assertThat(new LoadColumns(Map.of(1, new PeerLoads.Load(2, 1, 30, 3, 3))).isNews(before))
                .isTrue();
        assertThat(new LoadColumns(Map.of(1, new PeerLoads.Load(1, 1, 30, 4, 2))).isNews(before))
                .isTrue();
        assertThat(new LoadColumns(Map.of(1, new PeerLoads.Load(2, 0, 30, 4, 2))).isNews(before))
                .isTrue();
        assertThat(new LoadColumns(Map.of(1, new PeerLoads.Load(2, 1, 0, 4, 2))).isNews(before))
                .isTrue();
        assertThat(new LoadColumns(Map.of(2, new PeerLoads.Load(2, 1, 30, 4, 2))).isNews(before))
                .isTrue();
        assertThat(new LoadColumns(Map.of()).isNews(before)).isTrue();
    }

    private static Map<Integer, PeerLoads.Load> decode(byte[] columns) throws InvalidProtocolBufferException {
        return LoadCodec.decode(FleetProtos.WorkerLoads.parseFrom(columns));
    }

    private static Map<Integer, PeerLoads.Load> loads(int rows, Random random) {
        Map<Integer, PeerLoads.Load> loads = new HashMap<>();
        while (loads.size() < rows) {
            loads.put(random.nextInt(), load(random));
        }
        return loads;
    }

    private static PeerLoads.Load load(Random random) {
        return new PeerLoads.Load(
                random.nextInt(300),
                random.nextInt(30),
                random.nextDouble() * 20_000,
                random.nextDouble() * 100,
                random.nextDouble());
    }
}
