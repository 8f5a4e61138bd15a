package org.dotterelcourse.coordination.configuration;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Schedules the reads of the configuration service. At most one read is in flight. Retries after failures use
 * exponential backoff with jitter, so that a service that recovers is not hit by the whole fleet at once.
 */
final class ServiceReads {

    private final RelaySettings settings;
    private final RandomGenerator random;
    private final ReadBudget budget;
    private boolean reader;
    private boolean readInFlight;
    private boolean wholePreferred;
    private boolean wholeUnusable;
    private long readStartNanos;
    private long positionAtRead;
    private long backoffUntilNanos;
    private long backoffNanos;
    private long nextHeadPollNanos;
    private long head;
    private boolean serviceBehind;

    ServiceReads(RelaySettings settings, RandomGenerator random, long nowNanos) {
        this.settings = settings;
        this.random = random;
        this.budget = new ReadBudget(settings.readsPerSecond(), settings.readBurst(), nowNanos);
        this.backoffNanos = settings.initialBackoffNanos();
        this.backoffUntilNanos = nowNanos;
        this.nextHeadPollNanos = nowNanos + random.nextLong(settings.headPollPeriodNanos());
    }

    void setReader(boolean isReader) {
        reader = isReader;
    }

    /** Starts the next read if one is due and within the budget. */
    Optional<RelayEffect> nextRead(FoldState state, FoldState rebuilt, int fleetSize, long nowNanos) {
        if (readInFlight && nowNanos - readStartNanos > settings.readTimeoutNanos()) {
            recordFailure(0, nowNanos);
        }
        if (readInFlight || nowNanos - backoffUntilNanos < 0) {
            return Optional.empty();
        }
        RelayEffect read = chooseRead(state, rebuilt, fleetSize, nowNanos);
        if (read == null || !budget.tryTake(nowNanos)) {
            return Optional.empty();
        }
        readInFlight = true;
        readStartNanos = nowNanos;
        positionAtRead = state.position();
        return Optional.of(read);
    }

    void recordSuccess() {
        readInFlight = false;
        backoffNanos = settings.initialBackoffNanos();
    }

    void recordFailure(long retryAfterNanos, long nowNanos) {
        readInFlight = false;
        long waitNanos = backoffNanos / 2 + random.nextLong(backoffNanos);
        backoffUntilNanos = nowNanos + Math.max(waitNanos, retryAfterNanos);
        backoffNanos = Math.min(2 * backoffNanos, settings.maxBackoffNanos());
    }

    /**
     * Handles the result that the service does not have the requested entry. Either the service no longer keeps it, and
     * the newest whole document replaces it, or the service was restored from an old copy and its last reported head is
     * no longer valid.
     */
    void recordMissingEntry(long nowNanos) {
        recordFailure(0, nowNanos);
        wholePreferred = true;
        head = 0;
        nextHeadPollNanos = nowNanos;
    }

    /** The newest whole document was refused or is not above the position, so missing entries are read one by one. */
    void markWholeUnusable() {
        wholeUnusable = true;
        wholePreferred = false;
    }

    void recordProgress() {
        wholeUnusable = false;
        wholePreferred = false;
    }

    /**
     * Records the service's head and returns whether the service is now behind this process but was not at the last
     * report. The head is compared with the position at the start of the read, since this process may have received
     * newer entries from peers while the read was in flight.
     */
    boolean recordHead(long newHead) {
        head = newHead;
        boolean wasBehind = serviceBehind;
        serviceBehind = newHead < positionAtRead;
        return serviceBehind && !wasBehind;
    }

    private RelayEffect chooseRead(FoldState state, FoldState rebuilt, int fleetSize, long nowNanos) {
        if (rebuilt != null) {
            boolean rebuildStarted = rebuilt.position() > 0;
            return rebuildStarted ? new RelayEffect.Fetch(rebuilt.position() + 1) : new RelayEffect.FetchWhole();
        }
        if (state.position() == 0) {
            return new RelayEffect.FetchWhole();
        }
        long gap = head - state.position();
        if (gap > 0) {
            boolean whole = wholePreferred || gap > settings.wholeDocumentGap() && !wholeUnusable;
            return whole ? new RelayEffect.FetchWhole() : new RelayEffect.Fetch(state.position() + 1);
        }
        if (nowNanos - nextHeadPollNanos >= 0) {
            nextHeadPollNanos = nowNanos + nextHeadPollPeriodNanos(fleetSize);
            return new RelayEffect.FetchHead();
        }
        return reader ? new RelayEffect.Watch(state.position()) : null;
    }

    /**
     * The jittered time until the next check of the head. All processes check it, since the readers may have lost their
     * connection to the service while they still appear alive to their peers.
     */
    private long nextHeadPollPeriodNanos(int fleetSize) {
        long factor = Math.max(1, fleetSize / settings.headPollFleetSize());
        long periodNanos = settings.headPollPeriodNanos() * factor;
        return periodNanos / 2 + random.nextLong(periodNanos);
    }
}
