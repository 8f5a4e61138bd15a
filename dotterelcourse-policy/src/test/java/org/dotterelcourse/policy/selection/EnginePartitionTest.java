package org.dotterelcourse.policy.selection;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EnginePartitionTest {
    private static final long SECOND = 1_000_000_000L;

    @Property(tries = 300, seed = "7")
    void everyEngineServesExactlyOneLatencyClass(
            @ForAll @IntRange(min = 3, max = 200) int engines,
            @ForAll @IntRange(max = 50) int startSensitive,
            @ForAll @IntRange(max = 50) int delayTolerant) {
        EnginePartition partition = new EnginePartition();
        for (int i = 0; i < startSensitive; i++) {
            partition.recordArrival(prompt(LatencyClass.START_SENSITIVE), i * SECOND / 10);
        }
        for (int i = 0; i < delayTolerant; i++) {
            partition.recordArrival(prompt(LatencyClass.DELAY_TOLERANT), (startSensitive + i) * SECOND / 10);
        }
        int next = 0;
        for (LatencyClass latencyClass : LatencyClass.values()) {
            EnginePartition.Range range = partition.range(latencyClass, engines);
            if (range.to() - range.from() < engines) {
                assertThat(range.from()).isEqualTo(next);
                assertThat(range.to()).isGreaterThan(range.from());
                next = range.to();
            }
        }
        assertThat(next).isIn(0, engines);
    }

    // Guards against one peer with a corrupt sum that assigns all engines to one latency class.
    @Test
    void implausibleWorkOfAPeerIsIgnored() {
        for (double value : new double[] {-1, -1e18, 1e18, Double.NaN, Double.POSITIVE_INFINITY}) {
            EnginePartition partition = new EnginePartition();
            EnginePartition unaffected = new EnginePartition();
            partition.recordPeerWork("peer", true, new LatencyClassWork(new double[] {value, 900, 900}), 0);
            assertThat(partition.reportersWork().millis())
                    .containsExactly(unaffected.reportersWork().millis());
            for (LatencyClass latencyClass : LatencyClass.values()) {
                assertThat(partition.range(latencyClass, 12)).isEqualTo(unaffected.range(latencyClass, 12));
            }
        }
    }

    // Each change of the partition gives prompt parts other preferred engines, which have to read them again. A small
    // change of the traffic mix must not cause that.
    @Test
    void aSmallChangeOfTheMixKeepsThePartition() {
        EnginePartition partition = new EnginePartition();
        for (int i = 0; i < 60; i++) {
            partition.recordArrival(prompt(LatencyClass.values()[i % 3]), 1_000 * SECOND);
        }
        EnginePartition.Range before = partition.range(LatencyClass.DELAY_TOLERANT, 12);
        partition.recordArrival(prompt(LatencyClass.GAP_SENSITIVE), 1_000 * SECOND);
        partition.recordArrival(prompt(LatencyClass.GAP_SENSITIVE), 1_000 * SECOND);
        assertThat(partition.range(LatencyClass.DELAY_TOLERANT, 12)).isEqualTo(before);
    }

    // Without the assumed initial work, the first request of a new process would assign all engines to its latency
    // class.
    @Test
    void theFirstRequestDoesNotAssignAllEnginesToItsClass() {
        EnginePartition partition = new EnginePartition();
        partition.recordArrival(prompt(LatencyClass.GAP_SENSITIVE), 1_000_000 * SECOND);
        assertThat(partition.range(LatencyClass.GAP_SENSITIVE, 12).to()).isLessThan(6);
        assertThat(partition.range(LatencyClass.DELAY_TOLERANT, 12).from()).isLessThan(9);
    }

    @Test
    void processesThatExchangeTheirWorkComputeTheSamePartition() {
        EnginePartition one = new EnginePartition();
        EnginePartition other = new EnginePartition();
        for (int i = 0; i < 100; i++) {
            one.recordArrival(prompt(LatencyClass.DELAY_TOLERANT), SECOND);
            other.recordArrival(prompt(LatencyClass.GAP_SENSITIVE), SECOND);
        }
        one.recordPeerWork("other", true, other.localWork(), SECOND);
        other.recordPeerWork("one", true, one.localWork(), SECOND);
        for (LatencyClass latencyClass : LatencyClass.values()) {
            assertThat(other.range(latencyClass, 12)).isEqualTo(one.range(latencyClass, 12));
        }
    }

    @Test
    void theWorkOfAPeerThatStoppedReportingExpires() {
        EnginePartition partition = new EnginePartition();
        partition.recordPeerWork("gone", true, new LatencyClassWork(new double[] {1_000_000, 0, 0}), SECOND);
        EnginePartition.Range before = partition.range(LatencyClass.GAP_SENSITIVE, 12);
        partition.recordArrival(prompt(LatencyClass.DELAY_TOLERANT), 20 * SECOND);
        assertThat(partition.range(LatencyClass.GAP_SENSITIVE, 12).to()).isLessThan(before.to());
    }

    // A collector sends each reporter the sum of the work of all others. If that sum included the work of the reporter
    // itself, each round of reports would count it once more.
    @Test
    void theSumForAPeerExcludesThatPeersWork() {
        EnginePartition collector = new EnginePartition();
        double local = collector.localWork().totalMillis();
        collector.recordPeerWork("reporter", true, new LatencyClassWork(new double[] {7, 0, 0}), SECOND);
        collector.recordPeerWork("other collector", false, new LatencyClassWork(new double[] {0, 5, 0}), SECOND);
        assertThat(collector.reportersWork().totalMillis()).isEqualTo(local + 7);
        assertThat(collector.workExcluding("reporter").totalMillis()).isEqualTo(local + 5);
        assertThat(collector.workExcluding("other collector").totalMillis()).isEqualTo(local + 7);
    }

    // Half of the engines are half as fast. By number, the class that gets them would have a third of the capacity.
    @Test
    void engineRangesFollowTheCapacityOfTheEngines() {
        EnginePartition partition = new EnginePartition();
        for (int i = 0; i < 2_000; i++) {
            partition.recordArrival(prompt(LatencyClass.GAP_SENSITIVE), SECOND);
            partition.recordArrival(prompt(LatencyClass.DELAY_TOLERANT), SECOND);
        }
        EnginePartition.Range equal = partition.range(LatencyClass.GAP_SENSITIVE, 30);
        assertThat(equal.to()).isEqualTo(15);
        EnginePartition.Range uneven =
                partition.range(LatencyClass.GAP_SENSITIVE, 30, rank -> rank < 15 ? 1 / 1.5 : 1 / 0.75);
        assertThat(uneven).isEqualTo(new EnginePartition.Range(0, 19));
        assertThat(partition.range(LatencyClass.DELAY_TOLERANT, 30, rank -> rank < 15 ? 1 / 1.5 : 1 / 0.75))
                .isEqualTo(new EnginePartition.Range(19, 30));
    }

    // With uneven capacities, the middle of a small share may lie within another class's engine.
    @Test
    void eachClassWithWorkGetsAnEngineWhateverTheCapacities() {
        EnginePartition partition = new EnginePartition();
        for (int i = 0; i < 50; i++) {
            partition.recordArrival(prompt(LatencyClass.values()[i % 3]), SECOND);
        }
        for (int workers = 3; workers < 12; workers++) {
            int total = 0;
            for (LatencyClass latencyClass : LatencyClass.values()) {
                EnginePartition.Range range =
                        partition.range(latencyClass, workers, rank -> rank == 0 ? 4 : 0.25 + rank % 3 * 0.1);
                assertThat(range.from()).isEqualTo(total);
                assertThat(range.to()).isGreaterThan(range.from());
                total = range.to();
            }
            assertThat(total).isEqualTo(workers);
        }
    }

    @Test
    void fewerEnginesThanClassesAreShared() {
        EnginePartition partition = new EnginePartition();
        assertThat(partition.range(LatencyClass.DELAY_TOLERANT, 1)).isEqualTo(new EnginePartition.Range(0, 1));
        assertThat(partition.range(LatencyClass.GAP_SENSITIVE, 2)).isEqualTo(new EnginePartition.Range(0, 1));
        assertThat(partition.range(LatencyClass.START_SENSITIVE, 2)).isEqualTo(new EnginePartition.Range(1, 2));
    }

    @Test
    void theLatencyClassFollowsFromTheTargets() {
        assertThat(LatencyClass.of(120, 500, 2)).isEqualTo(LatencyClass.GAP_SENSITIVE);
        assertThat(LatencyClass.of(200, 800, 2)).isEqualTo(LatencyClass.START_SENSITIVE);
        assertThat(LatencyClass.of(500, 2_500, 2)).isEqualTo(LatencyClass.DELAY_TOLERANT);
        assertThat(LatencyClass.of(0, 100, 1)).isEqualTo(LatencyClass.START_SENSITIVE);
        // Four tokens per event, which take 292 ms on an engine that reads a prompt of 30,000 tokens.
        assertThat(LatencyClass.of(250, 500, 4)).isEqualTo(LatencyClass.GAP_SENSITIVE);
        assertThat(LatencyClass.of(300, 800, 4)).isEqualTo(LatencyClass.START_SENSITIVE);
    }

    private static Prompt prompt(LatencyClass latencyClass) {
        return new Prompt(List.of(new Prompt.Part("own", 9_000)), 9_000, 100, latencyClass);
    }
}
