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
    void everyEngineIsForExactlyOnePace(
            @ForAll @IntRange(min = 3, max = 200) int engines,
            @ForAll @IntRange(max = 50) int soon,
            @ForAll @IntRange(max = 50) int patient) {
        EnginePartition split = new EnginePartition();
        for (int i = 0; i < soon; i++) {
            split.recordArrival(prompt(LatencyClass.START_SENSITIVE), i * SECOND / 10);
        }
        for (int i = 0; i < patient; i++) {
            split.recordArrival(prompt(LatencyClass.DELAY_TOLERANT), (soon + i) * SECOND / 10);
        }
        int next = 0;
        for (LatencyClass latencyClass : LatencyClass.values()) {
            EnginePartition.Range range = split.range(latencyClass, engines);
            if (range.to() - range.from() < engines) {
                assertThat(range.from()).isEqualTo(next);
                assertThat(range.to()).isGreaterThan(range.from());
                next = range.to();
            }
        }
        assertThat(next).isIn(0, engines);
    }

    // Each change gives parts of prompts another home, where they are read again. A mix that moves a little must not
    // cause that.
    @Test
    void aSmallChangeOfTheMixMovesNothing() {
        EnginePartition split = new EnginePartition();
        for (int i = 0; i < 60; i++) {
            split.recordArrival(prompt(LatencyClass.values()[i % 3]), 1_000 * SECOND);
        }
        EnginePartition.Range before = split.range(LatencyClass.DELAY_TOLERANT, 12);
        split.recordArrival(prompt(LatencyClass.GAP_SENSITIVE), 1_000 * SECOND);
        split.recordArrival(prompt(LatencyClass.GAP_SENSITIVE), 1_000 * SECOND);
        assertThat(split.range(LatencyClass.DELAY_TOLERANT, 12)).isEqualTo(before);
    }

    // A process has just started. Its first request must not decide alone, or all engines would be for its pace.
    @Test
    void theFirstRequestOfAProcessDoesNotTakeAllEngines() {
        EnginePartition split = new EnginePartition();
        split.recordArrival(prompt(LatencyClass.GAP_SENSITIVE), 1_000_000 * SECOND);
        assertThat(split.range(LatencyClass.GAP_SENSITIVE, 12).to()).isLessThan(6);
        assertThat(split.range(LatencyClass.DELAY_TOLERANT, 12).from()).isLessThan(9);
    }

    @Test
    void processesThatHearOfEachOtherSplitAlike() {
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
    void aPeerThatHasGoneSilentNoLongerCounts() {
        EnginePartition split = new EnginePartition();
        split.recordPeerWork("gone", true, new LatencyClassWork(new double[] {1_000_000, 0, 0}), SECOND);
        EnginePartition.Range before = split.range(LatencyClass.GAP_SENSITIVE, 12);
        split.recordArrival(prompt(LatencyClass.DELAY_TOLERANT), 20 * SECOND);
        assertThat(split.range(LatencyClass.GAP_SENSITIVE, 12).to()).isLessThan(before.to());
    }

    // A collector adds up for its reporters. If a process's own work came back to it in that sum, each round would
    // count
    // it once more.
    @Test
    void aCollectorsSumForAPeerLacksThatPeersOwnWork() {
        EnginePartition collector = new EnginePartition();
        double own = collector.localWork().total();
        collector.recordPeerWork("reporter", true, new LatencyClassWork(new double[] {7, 0, 0}), SECOND);
        collector.recordPeerWork("other collector", false, new LatencyClassWork(new double[] {0, 5, 0}), SECOND);
        assertThat(collector.reportersWork().total()).isEqualTo(own + 7);
        assertThat(collector.workExcluding("reporter").total()).isEqualTo(own + 5);
        assertThat(collector.workExcluding("other collector").total()).isEqualTo(own + 7);
    }

    @Test
    void fewEnginesAreSharedByAll() {
        EnginePartition split = new EnginePartition();
        assertThat(split.range(LatencyClass.DELAY_TOLERANT, 1)).isEqualTo(new EnginePartition.Range(0, 1));
        assertThat(split.range(LatencyClass.GAP_SENSITIVE, 2)).isEqualTo(new EnginePartition.Range(0, 1));
        assertThat(split.range(LatencyClass.START_SENSITIVE, 2)).isEqualTo(new EnginePartition.Range(1, 2));
    }

    @Test
    void thePaceFollowsFromTheTargets() {
        assertThat(LatencyClass.of(120, 500, 2)).isEqualTo(LatencyClass.GAP_SENSITIVE);
        assertThat(LatencyClass.of(200, 800, 2)).isEqualTo(LatencyClass.START_SENSITIVE);
        assertThat(LatencyClass.of(500, 2_500, 2)).isEqualTo(LatencyClass.DELAY_TOLERANT);
        assertThat(LatencyClass.of(0, 100, 1)).isEqualTo(LatencyClass.START_SENSITIVE);
        // Four tokens an event, which an engine that reads a prompt of 30,000 tokens makes in 292 ms.
        assertThat(LatencyClass.of(250, 500, 4)).isEqualTo(LatencyClass.GAP_SENSITIVE);
        assertThat(LatencyClass.of(300, 800, 4)).isEqualTo(LatencyClass.START_SENSITIVE);
    }

    private static Prompt prompt(LatencyClass latencyClass) {
        return new Prompt(List.of(new Prompt.Part("own", 9_000)), 9_000, 100, latencyClass);
    }
}
