package org.dotterelcourse.it;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions, within a bound that only a fault exceeds. */
final class Await {
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final long EVERY_NANOS = 20_000_000L;

    private Await() {}

    static void until(String what, BooleanSupplier condition) {
        long limit = System.nanoTime() + LIMIT.toNanos();
        while (!holds(condition)) {
            if (System.nanoTime() - limit > 0) {
                throw new AssertionError("not within " + LIMIT + ": " + what);
            }
            LockSupport.parkNanos(EVERY_NANOS);
        }
    }

    private static boolean holds(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (UncheckedIOException e) {
            return false;
        }
    }
}
