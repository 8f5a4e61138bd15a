package org.dotterelcourse.policy.rate;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dotterelcourse.policy.rate.SlotLedger.Bounds;
import org.dotterelcourse.policy.rate.SlotLedger.End;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SlotLedgerTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int SLOTS = 6;
    private static final double MAX_REJECTIONS = 4;

    private final SlotLedger ledger = new SlotLedger();
    private long nextRequest;

    @Test
    void aFullWorkerGetsNothing() {
        ledger.updateBounds(new Bounds(SLOTS, 1_000, 0));
        fill(SECOND);
        assertThat(ledger.running()).isEqualTo(SLOTS);
        assertThat(ledger.hasRoom(10 * SECOND)).isFalse();
    }

    @Test
    void requestsOfProcessesThatDoNotAskTakeSlots() {
        ledger.updateBounds(new Bounds(SLOTS, 1_000, SLOTS - 1));
        fill(SECOND);
        assertThat(ledger.running()).isEqualTo(1);
    }

    @Test
    void aWorkerThatRejectedBelowItsSlotsIsTriedWithOneMoreRequestAfterAWhile() {
        ledger.updateBounds(new Bounds(SLOTS, MAX_REJECTIONS, 0));
        long first = send(SECOND);
        send(SECOND + 20 * MILLI);
        long third = send(SECOND + 40 * MILLI);
        ledger.recordEnd(third, End.REJECTED, SECOND + 45 * MILLI);
        assertThat(ledger.currentRoom(SECOND + 45 * MILLI)).isEqualTo(2);
        assertThat(ledger.hasRoom(SECOND + 100 * MILLI)).isFalse();
        assertThat(ledger.hasRoom(SECOND + 600 * MILLI)).isTrue();
        ledger.recordEnd(first, End.ANSWERED, 100 * SECOND);
        assertThat(ledger.currentRoom(100 * SECOND)).isEqualTo(SLOTS);
    }

    @Test
    void aWorkerThatBearsFewRejectionsIsTriedMoreRarely() {
        ledger.updateBounds(new Bounds(SLOTS, 0.5, 0));
        long only = send(SECOND);
        ledger.recordEnd(only, End.REJECTED, SECOND);
        assertThat(ledger.currentRoom(4 * SECOND)).isZero();
        assertThat(ledger.currentRoom(6 * SECOND)).isEqualTo(1);
    }

    @Test
    void aWorkerThatRejectsATrialIsTriedLessOften() {
        ledger.updateBounds(new Bounds(SLOTS, MAX_REJECTIONS, 0));
        long now = SECOND;
        ledger.recordEnd(send(now), End.REJECTED, now);
        int trials = 0;
        for (; now < 60 * SECOND; now += 20 * MILLI) {
            if (ledger.hasRoom(now)) {
                trials++;
                ledger.recordEnd(send(now), End.REJECTED, now);
            }
        }
        assertThat(trials).isBetween(5, 12);
    }

    @Test
    void aRequestWhoseEndWasNotSeenTakesItsSlotForAWhile() {
        ledger.updateBounds(new Bounds(1, 1_000, 0));
        ledger.recordEnd(send(SECOND), End.UNSEEN, 2 * SECOND);
        assertThat(ledger.hasRoom(2 * SECOND)).isFalse();
        assertThat(ledger.hasRoom(8 * SECOND)).isTrue();
        ledger.recordEnd(send(8 * SECOND), End.GONE, 8 * SECOND);
        assertThat(ledger.hasRoom(8 * SECOND)).isTrue();
    }

    // A worker whose room is unknown and changes rejects no more in any second than it bears.
    @Property(seed = "52", tries = 200)
    void aWorkerRejectsNoMoreInASecondThanItBears(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 64) int slots,
            @ForAll @IntRange(min = 2, max = 8) int bears) {
        Random random = new Random(seed);
        SlotLedger fleet = new SlotLedger();
        fleet.updateBounds(new Bounds(slots, bears, 0));
        List<long[]> atWorker = new ArrayList<>();
        List<long[]> onWay = new ArrayList<>();
        List<Long> rejections = new ArrayList<>();
        int room = slots;
        long request = 0;
        for (long now = 0; now < 20 * SECOND; now += MILLI) {
            if (now % (5 * SECOND) == 0) {
                room = random.nextInt(slots + 1);
            }
            long time = now;
            onWay.removeIf(each -> {
                if (each[1] <= time) {
                    fleet.recordEnd(each[0], End.REJECTED, time);
                }
                return each[1] <= time;
            });
            atWorker.removeIf(each -> {
                if (each[1] <= time) {
                    fleet.recordEnd(each[0], End.ANSWERED, time);
                }
                return each[1] <= time;
            });
            while (fleet.hasRoom(now)) {
                fleet.recordSend(++request, now);
                if (atWorker.size() < room) {
                    atWorker.add(new long[] {request, now + (20 + random.nextInt(500)) * MILLI});
                } else {
                    rejections.add(now);
                    onWay.add(new long[] {request, now + (1 + random.nextInt(5)) * MILLI});
                }
            }
            rejections.removeIf(at -> time - at > SECOND);
            assertThat(rejections)
                    .as("rejections in a second at %s ms", now / MILLI)
                    .hasSizeLessThanOrEqualTo(bears);
        }
    }

    private long send(long nowNanos) {
        ledger.recordSend(++nextRequest, nowNanos);
        return nextRequest;
    }

    private void fill(long nowNanos) {
        while (ledger.hasRoom(nowNanos)) {
            send(nowNanos);
        }
    }
}
