package org.dotterelcourse.coordination.configuration;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides which read of the service comes next. One read at most is under way; failures back off with jitter, since a
 * service that comes back must not meet the whole fleet at once.
 */
final class ServiceReads {

    private final RelaySettings settings;
    private final RandomGenerator random;
    private final ReadBudget budget;
    private boolean reader;
    private boolean reading;
    private boolean wholeWanted;
    private boolean wholeUseless;
    private long readSinceNanos;
    private long readAtPosition;
    private long waitUntilNanos;
    private long backoffNanos;
    private long nextPollNanos;
    private long head;
    private boolean behind;

    ServiceReads(RelaySettings settings, RandomGenerator random, long nowNanos) {
        this.settings = settings;
        this.random = random;
        this.budget = new ReadBudget(settings.readsPerSecond(), settings.readBurst(), nowNanos);
        this.backoffNanos = settings.backoffNanos();
        this.waitUntilNanos = nowNanos;
        this.nextPollNanos = nowNanos + random.nextLong(settings.headPollNanos());
    }

    void reader(boolean isReader) {
        reader = isReader;
    }

    /** The next read, if one is due. */
    Optional<RelayEffect> next(FoldState state, FoldState rebuilt, int fleetSize, long nowNanos) {
        if (reading && nowNanos - readSinceNanos > settings.readTimeoutNanos()) {
            failed(0, nowNanos);
        }
        if (reading || nowNanos - waitUntilNanos < 0) {
            return Optional.empty();
        }
        RelayEffect read = choose(state, rebuilt, fleetSize, nowNanos);
        if (read == null || !budget.take(nowNanos)) {
            return Optional.empty();
        }
        reading = true;
        readSinceNanos = nowNanos;
        readAtPosition = state.position();
        return Optional.of(read);
    }

    void succeeded() {
        reading = false;
        backoffNanos = settings.backoffNanos();
    }

    void failed(long retryAfterNanos, long nowNanos) {
        reading = false;
        long wait = backoffNanos / 2 + random.nextLong(backoffNanos);
        waitUntilNanos = nowNanos + Math.max(wait, retryAfterNanos);
        backoffNanos = Math.min(2 * backoffNanos, settings.backoffCeilingNanos());
    }

    /**
     * The service does not have the entry that would come next. Either it is too old, and the newest whole document
     * leads past it, or the service came back from an old copy and the head that it told is no longer true.
     */
    void missing(long nowNanos) {
        failed(0, nowNanos);
        wholeWanted = true;
        head = 0;
        nextPollNanos = nowNanos;
    }

    /** The newest whole document was refused, or is not above the position: only single entries lead on. */
    void wholeUseless() {
        wholeUseless = true;
        wholeWanted = false;
    }

    void advanced() {
        wholeUseless = false;
        wholeWanted = false;
    }

    /**
     * Notes the service's head; returns whether it is newly known to be behind. It is compared with the position at
     * the time of the read: peers may have gone ahead while the answer was on its way.
     */
    boolean noteHead(long read) {
        head = read;
        boolean wasBehind = behind;
        behind = read < readAtPosition;
        return behind && !wasBehind;
    }

    private RelayEffect choose(FoldState state, FoldState rebuilt, int fleetSize, long nowNanos) {
        if (rebuilt != null) {
            boolean started = rebuilt.position() > 0;
            return started ? new RelayEffect.Fetch(rebuilt.position() + 1) : new RelayEffect.FetchWhole();
        }
        if (state.position() == 0) {
            return new RelayEffect.FetchWhole();
        }
        long gap = head - state.position();
        if (gap > 0) {
            boolean whole = wholeWanted || gap > settings.wholeGap() && !wholeUseless;
            return whole ? new RelayEffect.FetchWhole() : new RelayEffect.Fetch(state.position() + 1);
        }
        if (nowNanos - nextPollNanos >= 0) {
            nextPollNanos = nowNanos + pollPeriod(fleetSize);
            return new RelayEffect.FetchHead();
        }
        return reader ? new RelayEffect.Watch(state.position()) : null;
    }

    /** Readers may be cut off from the service while they look alive; a slow check by all others finds that out. */
    private long pollPeriod(int fleetSize) {
        long factor = Math.max(1, fleetSize / settings.headPollFleet());
        long period = settings.headPollNanos() * factor;
        return period / 2 + random.nextLong(period);
    }
}
