package org.dotterelcourse.gateway;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PollerTest {
    private static final long INTERVAL_MILLIS = 20;

    private final ManualTimers timers = new ManualTimers(0);
    private final AtomicInteger runs = new AtomicInteger();

    @Test
    void runsAtIntervalsWhileThereIsWork() {
        Poller poller = new Poller(timers, INTERVAL_MILLIS, () -> runs.incrementAndGet() < 3);
        poller.start();
        poller.start();
        timers.advance(INTERVAL_MILLIS);
        assertThat(runs).hasValue(1);
        timers.advance(10 * INTERVAL_MILLIS);
        assertThat(runs).hasValue(3);
        assertThat(timers.size()).isZero();
    }

    @Test
    void runsAgainWhenItIsStartedDuringItsLastRun() {
        Poller[] poller = new Poller[1];
        poller[0] = new Poller(timers, INTERVAL_MILLIS, () -> {
            if (runs.incrementAndGet() == 1) {
                poller[0].start();
            }
            return false;
        });
        poller[0].start();
        timers.advance(10 * INTERVAL_MILLIS);
        assertThat(runs).hasValue(2);
    }

    // Guards against requests that wait forever for a task whose run has failed once.
    @Test
    void runsAgainAfterAnExceptionAndAfterAnError() {
        Poller poller = new Poller(timers, INTERVAL_MILLIS, () -> {
            switch (runs.incrementAndGet()) {
                case 1 -> throw new IllegalStateException("first run");
                case 2 -> throw new OutOfMemoryError("second run, not a real one");
                default -> {
                    return false;
                }
            }
        });
        poller.start();
        timers.advance(10 * INTERVAL_MILLIS);
        assertThat(runs).hasValue(3);
        assertThat(timers.failures()).hasSize(2);
    }

    @Test
    void theGatewayLoopRunsAPollerAgainAfterAnError() throws InterruptedException {
        GatewayLoop loop = new GatewayLoop();
        try {
            CountDownLatch secondRun = new CountDownLatch(2);
            Poller poller = new Poller(loop, 1, () -> {
                secondRun.countDown();
                throw new StackOverflowError("not a real one");
            });
            loop.execute(poller::start);
            assertThat(secondRun.await(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            loop.stop();
        }
    }
}
