package org.dotterelcourse.policy.rate;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dotterelcourse.policy.rate.BrittleWorkerAdmission.Load;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BrittleWorkerAdmissionTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int SLOTS = 6;
    private static final int PROCESSES = 8;
    private static final double MAX_REJECTIONS = 8;
    private static final double BUSY_PER_SECOND = 200;

    private final BrittleWorkerAdmission admission = new BrittleWorkerAdmission();

    @Test
    void aProcessWithoutAPartMayUseAWorkerThatIsNearlyIdle() {
        assertThat(allows(new Load(0, 0, 5), false, SECOND)).isTrue();
    }

    @Test
    void aProcessWithoutAPartMayNotUseABusyWorker() {
        assertThat(allows(new Load(0, 3, BUSY_PER_SECOND), false, SECOND)).isFalse();
        assertThat(allows(new Load(0, 3, BUSY_PER_SECOND), true, SECOND)).isTrue();
    }

    @Test
    void aFullWorkerGetsNothing() {
        assertThat(allows(new Load(0, SLOTS, 0), true, SECOND)).isFalse();
        assertThat(allows(new Load(0, SLOTS + 3, 0), true, SECOND)).isFalse();
    }

    @Test
    void aWorkerThatRejectedBelowItsSlotsIsTriedWithOneMoreRequestAfterAWhile() {
        admission.recordFull(2, SECOND);
        assertThat(allows(new Load(0, 2, 0), true, SECOND)).isFalse();
        assertThat(allows(new Load(0, 2, 0), true, 2 * SECOND)).isTrue();
        assertThat(allows(new Load(0, 4, 0), true, 2 * SECOND)).isFalse();
        assertThat(allows(new Load(0, SLOTS, 0), true, 100 * SECOND)).isFalse();
    }

    @Test
    void aFleetTriesAWorkerThatBearsFewRejectionsMoreRarely() {
        admission.recordFull(2, SECOND);
        assertThat(admission.allows(SLOTS, 2, new Load(0, 2, 0), PROCESSES, count -> true, 4 * SECOND))
                .isFalse();
        assertThat(admission.allows(SLOTS, 2, new Load(0, 2, 0), PROCESSES, count -> true, 5 * SECOND))
                .isTrue();
    }

    @Test
    void inALargeFleetAProcessMayUseAWorkerWithShortCalls() {
        double perSecond = 20;
        for (long now = 0; now < 5 * SECOND; now += SECOND / 10) {
            admission.allows(SLOTS, 3, new Load(0, 1, perSecond), 85, count -> false, now);
        }
        assertThat(admission.allows(SLOTS, 3, new Load(0, 1, perSecond), 85, count -> false, 5 * SECOND))
                .isTrue();
    }

    // Without any news of each other, processes that see a busy worker send it together at most as many as it has room
    // for.
    @Property(seed = "48", tries = 300)
    void thePartsOfAllProcessesAddUpToTheRoom(
            @ForAll long seed,
            @ForAll @IntRange(max = 64) int slots,
            @ForAll @IntRange(min = 1, max = 100) int processes) {
        Random random = new Random(seed);
        int[] own = new int[processes];
        BrittleWorkerAdmission[] admissions = new BrittleWorkerAdmission[processes];
        for (int i = 0; i < processes; i++) {
            admissions[i] = new BrittleWorkerAdmission();
        }
        Load full = new Load(slots, slots, 1_000);
        for (int step = 0; step < 200 * processes; step++) {
            int process = random.nextInt(processes);
            // Until now, the process has seen a full worker for long.
            admissions[process].allows(slots, 3, full, processes, count -> false, 100 * SECOND);
            Load load = new Load(own[process], own[process], 1_000);
            if (admissions[process].allows(slots, 3, load, processes, count -> process < count, 100 * SECOND)) {
                own[process]++;
            }
        }
        int sum = 0;
        for (int each : own) {
            sum += each;
        }
        assertThat(sum).isEqualTo(slots);
    }

    private boolean allows(Load load, boolean hasPart, long nowNanos) {
        return admission.allows(SLOTS, MAX_REJECTIONS, load, PROCESSES, count -> hasPart && count > 0, nowNanos);
    }
}
