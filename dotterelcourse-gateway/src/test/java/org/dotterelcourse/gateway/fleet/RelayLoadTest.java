package org.dotterelcourse.gateway.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.published.PublishedItem;
import org.dotterelcourse.gateway.published.StorePosition;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load test without a network: distributes a configuration of 1,760 routes with different names among processes whose
 * links carry 7 Mbit/s and messages one after the other.
 */
class RelayLoadTest {
    private static final double LINK_BYTES_PER_MILLI = 7_000_000 / 8.0 / 1_000;
    private static final double LATENCY_MILLIS = 3;

    /** Time from the receipt of a message until it is forwarded at 0.12 of a core: 2 ms to inflate it, times 8. */
    private static final double FORWARDING_MILLIS = 16;

    /** Half of the shortest time limit; the other half is for reading the store and decoding. */
    private static final double MAX_MILLIS = 1_000;

    /** A process that has received the message. */
    private record Delivery(double atMillis, ForwardingTree.Receiver to, List<String> forwardTo) {}

    // Guards against a configuration that reaches some processes only after the time within which it must be in force.
    @ParameterizedTest
    @CsvSource({"22,4", "65,4", "86,4", "340,7"})
    void aLargeConfigurationReachesAllProcessesInAFractionOfTheLimit(int processes, int dataCentres) {
        FleetProtos.Items plain = ItemsCodec.encode(List.of(configuration()), new StorePosition(1, 1))
                .build();
        FleetProtos.Items compressed = ItemsCodec.compress(plain);
        double plainMillis = plain.getSerializedSize() / LINK_BYTES_PER_MILLI;
        double millis = lastDeliveryMillis(compressed.getSerializedSize(), processes, dataCentres);
        assertThat(plainMillis * (processes / dataCentres)).isGreaterThan(2_000);
        assertThat(millis).isLessThan(MAX_MILLIS);
    }

    private static double lastDeliveryMillis(int bytes, int processes, int dataCentres) {
        List<ForwardingTree.Receiver> all = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            all.add(new ForwardingTree.Receiver("edge-" + i, "dc-" + i % dataCentres));
        }
        PriorityQueue<Delivery> pending = new PriorityQueue<>(Comparator.comparingDouble(Delivery::atMillis));
        pending.add(new Delivery(
                0,
                all.get(0),
                all.stream().skip(1).map(ForwardingTree.Receiver::name).toList()));
        double last = 0;
        while (!pending.isEmpty()) {
            Delivery delivery = pending.remove();
            last = delivery.atMillis();
            Set<String> names = Set.copyOf(delivery.forwardTo());
            List<ForwardingTree.Receiver> receivers =
                    all.stream().filter(each -> names.contains(each.name())).toList();
            double sentMillis = delivery.atMillis() + FORWARDING_MILLIS;
            for (ForwardingTree.Branch branch :
                    ForwardingTree.divide(receivers, delivery.to().dataCentre())) {
                sentMillis += bytes / LINK_BYTES_PER_MILLI;
                ForwardingTree.Receiver to =
                        all.get(Integer.parseInt(branch.name().substring("edge-".length())));
                pending.add(new Delivery(sentMillis + LATENCY_MILLIS, to, branch.forwardTo()));
            }
        }
        return last;
    }

    private static PublishedItem configuration() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 1_760; i++) {
            text.append("{\"name\":\"route-" + i * 7_919 + "\",\"host\":\"host-" + i % 40
                    + ".example\",\"pathPrefix\":\"/tenant-" + i * 104_729 % 9_973
                    + "/declarations/" + i * 7_907 % 6_007 + "/\",\"kind\":\"idempotent\",\"timeoutMs\":"
                    + (4_000 + i % 97)
                    + ",\"targetLatencyMs\":" + (300 + i % 41) + ",\"priority\":" + i % 4
                    + ",\"service\":\"plain\",\"maxAttempts\":2,\"anonymous\":false,\"resumable\":false},");
        }
        return new PublishedItem("configuration", text.toString().getBytes(StandardCharsets.UTF_8), 1, false);
    }
}
