package org.dotterelcourse.policy.rate;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerLimitsTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int WORKER = 7;
    private static final OptionalDouble NONE = OptionalDouble.empty();
    private static final OptionalDouble LIMIT = OptionalDouble.of(1.3);

    private final WorkerLimits limits = new WorkerLimits();

    @Test
    void ignoresAWorkerThatNeverSetALimit() {
        assertThat(limits.updateFromWorker(WORKER, NONE, 0)).isFalse();
        assertThat(limits.updateFromPeer(new LimitNotice(WORKER, NONE, 0), 0)).isFalse();
        assertThat(limits.takeNotices(0)).isEmpty();
    }

    @Test
    void sendsAChangeThreeTimesAndThenTheLimitOncePerSecond() {
        limits.takeNotices(0);
        assertThat(limits.updateFromWorker(WORKER, LIMIT, 0)).isTrue();
        assertThat(limits.updateFromWorker(WORKER, LIMIT, MILLI)).isFalse();
        int sends = 0;
        for (long nowNanos = 0; nowNanos < SECOND; nowNanos += 100 * MILLI) {
            sends += limits.takeNotices(nowNanos).isEmpty() ? 0 : 1;
        }
        assertThat(sends).isEqualTo(3);
        assertThat(limits.takeNotices(2 * SECOND)).hasSize(1);
        assertThat(limits.takeNotices(2 * SECOND + 100 * MILLI)).isEmpty();
    }

    @Test
    void theMostRecentStatementWinsInAnyOrderOfNotices() {
        assertThat(limits.updateFromPeer(new LimitNotice(WORKER, LIMIT, 100), SECOND))
                .isTrue();
        assertThat(limits.updateFromPeer(new LimitNotice(WORKER, NONE, 500), SECOND))
                .isFalse();
        assertThat(limits.limit(WORKER)).isEqualTo(LIMIT);
        assertThat(limits.updateFromPeer(new LimitNotice(WORKER, NONE, 20), SECOND))
                .isTrue();
        assertThat(limits.updateFromPeer(new LimitNotice(WORKER, LIMIT, 50), SECOND))
                .isFalse();
        assertThat(limits.limit(WORKER)).isEmpty();
    }

    @Test
    void sendsTheCurrentLimitAgainAfterAnOutdatedNotice() {
        limits.updateFromWorker(WORKER, LIMIT, 0);
        limits.updateFromWorker(WORKER, NONE, SECOND);
        for (int i = 0; i < 5; i++) {
            limits.takeNotices(SECOND);
        }
        assertThat(limits.takeNotices(SECOND)).isEmpty();
        limits.updateFromPeer(new LimitNotice(WORKER, LIMIT, 3_000), 3 * SECOND);
        assertThat(limits.takeNotices(3 * SECOND))
                .singleElement()
                .satisfies(notice -> assertThat(notice.perSecond()).isEmpty());
    }

    @Test
    void sendsAllLimitsAtOnceWhenAPeerStarts() {
        limits.updateFromWorker(WORKER, LIMIT, 0);
        for (int i = 0; i < 5; i++) {
            limits.takeNotices(MILLI);
        }
        assertThat(limits.takeNotices(MILLI)).isEmpty();
        limits.scheduleReminders();
        assertThat(limits.takeNotices(MILLI)).hasSize(1);
    }

    // Guards against a limit that peers forward to each other until it seems more recent than the worker's statement
    // that it no longer sets a limit.
    @Property(seed = "20261203", tries = 200)
    void peersConvergeOnTheLastLimitAlthoughMessagesAreDelayedAndLost(@ForAll long seed) {
        Random random = new Random(seed);
        List<WorkerLimits> fleet = List.of(new WorkerLimits(), new WorkerLimits(), new WorkerLimits());
        List<Message> inFlight = new ArrayList<>();
        OptionalDouble expected = NONE;
        for (long nowNanos = 0; nowNanos < 20 * SECOND; nowNanos += 50 * MILLI) {
            if (nowNanos < 10 * SECOND && nowNanos % SECOND == 0) {
                WorkerLimits process = fleet.get(random.nextInt(3));
                OptionalDouble limit = random.nextBoolean() ? NONE : OptionalDouble.of(1 + random.nextInt(3));
                boolean isRelevant = limit.isPresent() || process.limit(WORKER).isPresent();
                process.updateFromWorker(WORKER, limit, nowNanos);
                expected = isRelevant ? limit : expected;
            }
            exchange(fleet, inFlight, random, nowNanos);
        }
        for (WorkerLimits process : fleet) {
            assertThat(process.limit(WORKER)).isEqualTo(expected);
        }
    }

    private record Message(int to, LimitNotice notice, long atNanos) {}

    private static void exchange(List<WorkerLimits> fleet, List<Message> inFlight, Random random, long nowNanos) {
        inFlight.stream()
                .filter(message -> message.atNanos() <= nowNanos)
                .forEach(message -> fleet.get(message.to()).updateFromPeer(message.notice(), nowNanos));
        inFlight.removeIf(message -> message.atNanos() <= nowNanos);
        for (int from = 0; from < fleet.size(); from++) {
            for (LimitNotice notice : fleet.get(from).takeNotices(nowNanos)) {
                for (int to = 0; to < fleet.size(); to++) {
                    if (to != from && random.nextInt(4) > 0) {
                        inFlight.add(new Message(to, notice, nowNanos + random.nextInt(20) * MILLI));
                    }
                }
            }
        }
    }
}
