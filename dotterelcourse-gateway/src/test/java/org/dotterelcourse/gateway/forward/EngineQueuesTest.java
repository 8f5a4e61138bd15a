package org.dotterelcourse.gateway.forward;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.ManualTimers;
import org.dotterelcourse.gateway.routing.RequestKind;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.routing.RoutingTable;
import org.dotterelcourse.gateway.routing.UpstreamSpec;
import org.dotterelcourse.gateway.workers.Placement;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.Prompt;
import org.dotterelcourse.policy.selection.TransferCost;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;

import static org.assertj.core.api.Assertions.assertThat;

class EngineQueuesTest {
    private static final long START_NANOS = 1_000_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long TIMEOUT_MILLIS = 8_000;
    private static final long BACKOFF_MILLIS = 2_000;
    private static final int NEW_ENGINES = 2;
    private static final int SLOTS = 2;
    private static final String OLD = "v1";
    private static final String NEW = "v2";

    /** Two polls: a request that expires just after one is decided on at the next. */
    private static final long POLLS_MILLIS = 40;

    private static final UpstreamSpec UPSTREAM =
            new UpstreamSpec("llm", true, 2, TransferCost.unsupported(), ColdStart.none());
    private static final Route ROUTE = new Route(
            "digest",
            "a.example",
            "/",
            RequestKind.STREAMING,
            TIMEOUT_MILLIS,
            2_500,
            500,
            0,
            List.of(new Route.UpstreamShare("llm", 1)),
            1,
            false,
            false);
    private static final Prompt PROMPT =
            new Prompt(List.of(new Prompt.Part("own", 4_000)), 4_000, 60, LatencyClass.DELAY_TOLERANT);

    private final ManualTimers timers = new ManualTimers(START_NANOS);
    private final FailingRandom random = new FailingRandom();
    private final GatewayState state = new GatewayState(new GatewayState.RetryLimit(0.2, 50, 10_000_000_000L));
    private final EngineQueues queues = new EngineQueues(
            timers,
            state,
            new WorkerSelection("dc-a", state, random),
            new SharedBackoff(state, new Random(20261205)),
            new Random(20261205));
    private final List<Waiting> requests = new ArrayList<>();
    private final Deque<Placement> running = new ArrayDeque<>();
    private int tableNumber;

    /** A request with the answers to it. */
    private static final class Waiting {
        private final Call call;
        private final List<EngineQueues.AdmissionResult> answers = new ArrayList<>();
        private long answeredNanos;
        private boolean hasLeft;
        private Disposable subscription;

        private Waiting(Call call) {
            this.call = call;
        }
    }

    /** A source of randomness that fails once when it is told to, as any part of a selection might. */
    private static final class FailingRandom extends Random {
        private static final long serialVersionUID = 1L;
        private boolean fails;
        private transient Optional<Error> error = Optional.empty();

        private FailingRandom() {
            super(20261205);
        }

        @Override
        public double nextDouble() {
            if (fails) {
                fails = false;
                throw new IllegalStateException("selection fails");
            }
            if (error.isPresent()) {
                Error thrown = error.get();
                error = Optional.empty();
                throw thrown;
            }
            return super.nextDouble();
        }
    }

    EngineQueuesTest() {
        Kernel kernel =
                new Kernel().register(new AuditTrail(Clock.systemUTC(), "")).register(state);
        assertThat(kernel.start()).isEmpty();
        reload(true);
        publish("old-0", OLD);
        for (int i = 0; i < NEW_ENGINES; i++) {
            publish("new-" + i, NEW);
        }
    }

    // Guards against a rejected request that takes those out of the queue with it which other engines may serve.
    @Test
    void requestsBehindOneThatIsRejectedForABackoffAreServedByOtherEngines() {
        fillAllSlots();
        Waiting restricted = add(TIMEOUT_MILLIS, Set.of(NEW), false);
        Waiting other = add(TIMEOUT_MILLIS, Set.of(), false);
        backOff("old-0");
        timers.advance(POLLS_MILLIS);
        assertThat(restricted.answers)
                .singleElement()
                .isInstanceOfSatisfying(
                        EngineQueues.AdmissionResult.Rejected.class,
                        rejected -> assertThat(rejected.reason()).isEqualTo(SharedBackoff.REASON));
        assertThat(other.answers).isEmpty();
        endAll();
        timers.advance(POLLS_MILLIS);
        assertThat(other.answers).singleElement().isInstanceOf(EngineQueues.AdmissionResult.Dispatched.class);
    }

    // Guards against requests that wait behind one whose only engine is full, although their own engines are free.
    @Test
    void aRequestWhoseEngineIsFullDoesNotHoldUpThoseThatOtherEnginesMayServe() {
        fillAllSlots();
        Waiting restricted = add(TIMEOUT_MILLIS, Set.of(NEW), false);
        Waiting other = add(TIMEOUT_MILLIS, Set.of(), false);
        endAllAt("new-");
        timers.advance(POLLS_MILLIS);
        assertThat(restricted.answers).isEmpty();
        assertThat(other.answers).singleElement().isInstanceOf(EngineQueues.AdmissionResult.Dispatched.class);
    }

    // Guards against queued requests that wait while all engines are suspected, although others are sent there.
    @Test
    void queuedRequestsAreServedWhileAllEnginesAreSuspected() {
        fillAllSlots();
        Waiting request = add(TIMEOUT_MILLIS, Set.of(), false);
        running.forEach(placement -> {
            placement.recordFailure(timers.nowNanos());
            placement.end();
        });
        timers.advance(POLLS_MILLIS);
        assertThat(request.answers).singleElement().isInstanceOf(EngineQueues.AdmissionResult.Dispatched.class);
    }

    // Guards against requests that wait until they expire for an upstream that no longer exists.
    @Test
    void queuedRequestsAreAnsweredWhenTheirUpstreamIsNoLongerConfigured() {
        fillAllSlots();
        Waiting request = add(TIMEOUT_MILLIS, Set.of(), false);
        reload(false);
        timers.advance(POLLS_MILLIS);
        assertThat(request.answers)
                .containsExactly(new EngineQueues.AdmissionResult.Dispatched(new WorkerSelection.Outcome.NoWorker()));
    }

    // Guards against a queue that is never polled again after a selection has failed.
    @Test
    void aFailedSelectionRejectsItsRequestAndTheNextOneIsServed() {
        fillAllSlots();
        Waiting first = add(TIMEOUT_MILLIS, Set.of(), false);
        Waiting second = add(TIMEOUT_MILLIS, Set.of(), false);
        endAll();
        random.fails = true;
        timers.advance(POLLS_MILLIS);
        assertThat(first.answers).singleElement().isInstanceOf(EngineQueues.AdmissionResult.Rejected.class);
        assertThat(second.answers).singleElement().isInstanceOf(EngineQueues.AdmissionResult.Dispatched.class);
    }

    // Guards against a queue that is never polled again after a poll has ended by an error.
    @Test
    void aPollThatEndsByAnErrorIsFollowedByTheNextOne() {
        fillAllSlots();
        Waiting first = add(TIMEOUT_MILLIS, Set.of(), false);
        Waiting second = add(TIMEOUT_MILLIS, Set.of(), false);
        endAll();
        random.error = Optional.of(new OutOfMemoryError("not a real one"));
        timers.advance(2 * POLLS_MILLIS);
        assertThat(timers.failures()).singleElement().isInstanceOf(OutOfMemoryError.class);
        assertThat(first.answers).singleElement().isInstanceOf(EngineQueues.AdmissionResult.Dispatched.class);
        assertThat(second.answers).singleElement().isInstanceOf(EngineQueues.AdmissionResult.Dispatched.class);
    }

    /** What may happen while requests wait. */
    enum Event {
        ADD,
        ADD_FOR_OLD_ENGINE,
        ADD_SUSPECT,
        ADD_WITH_LITTLE_TIME,
        BACKOFF_OF_OLD_ENGINE,
        BACKOFF_OF_NEW_ENGINES,
        FINISH,
        LEAVE,
        POLL,
        SECOND,
        OLD_ENGINE_GONE,
        OLD_ENGINE_BACK,
        RELOAD_WITHOUT_UPSTREAM,
        RELOAD,
        SELECTION_FAILS,
        STOP
    }

    // Guards against requests that get no answer, two answers or a late one, whatever happens while they wait.
    @Property(tries = 500, seed = "20261205")
    void eachRequestIsAnsweredExactlyOnceAndInTime(@ForAll @Size(max = 80) List<Event> events) {
        new EngineQueuesTest().assertThatRequestsAreAnswered(events);
    }

    private void assertThatRequestsAreAnswered(List<Event> events) {
        events.forEach(this::apply);
        timers.advance(TIMEOUT_MILLIS);
        for (Waiting request : requests) {
            assertThat(request.answers).hasSize(request.hasLeft ? 0 : 1);
            long usefulMillis = (long)
                    (request.call.remainingMillis(request.call.attributes().arrivalNanos())
                            - WorkerSelection.typicalCompletionMillis(request.call));
            assertThat(request.answeredNanos - request.call.attributes().arrivalNanos())
                    .isLessThanOrEqualTo((Math.max(0, usefulMillis) + POLLS_MILLIS) * NANOS_PER_MILLI);
        }
        assertThat(timers.failures()).isEmpty();
        assertThat(timers.size()).isZero();
    }

    private void apply(Event event) {
        switch (event) {
            case ADD -> add(TIMEOUT_MILLIS, Set.of(), false);
            case ADD_FOR_OLD_ENGINE -> add(TIMEOUT_MILLIS, Set.of(NEW), false);
            case ADD_SUSPECT -> add(TIMEOUT_MILLIS, Set.of(), true);
            case ADD_WITH_LITTLE_TIME -> add(TIMEOUT_MILLIS / 2 + 100, Set.of(), false);
            case BACKOFF_OF_OLD_ENGINE -> backOff("old-0");
            case BACKOFF_OF_NEW_ENGINES -> {
                for (int i = 0; i < NEW_ENGINES; i++) {
                    backOff("new-" + i);
                }
            }
            case FINISH -> Optional.ofNullable(running.poll()).ifPresent(Placement::end);
            case LEAVE ->
                requests.stream()
                        .filter(each -> each.answers.isEmpty() && !each.hasLeft)
                        .findFirst()
                        .ifPresent(each -> {
                            each.hasLeft = true;
                            each.subscription.dispose();
                        });
            case POLL -> timers.advance(POLLS_MILLIS / 2);
            case SECOND -> timers.advance(1_000);
            case OLD_ENGINE_GONE -> state.removeWorker("old-0", timers.nowNanos());
            case OLD_ENGINE_BACK -> publish("old-0", OLD);
            case RELOAD_WITHOUT_UPSTREAM -> reload(false);
            case RELOAD -> reload(true);
            case SELECTION_FAILS -> {
                random.fails = true;
            }
            case STOP -> queues.rejectAll();
            default -> throw new AssertionError(event);
        }
    }

    private void reload(boolean hasUpstream) {
        RoutingTable.Builder table = RoutingTable.builder(++tableNumber);
        state.activate(hasUpstream ? table.upstream(UPSTREAM).route(ROUTE).build() : table.build());
    }

    private void publish(String id, String version) {
        int number = id.startsWith("old") ? 9 : id.charAt(id.length() - 1) - '0';
        state.updateWorker(
                new WorkerEntry(id, 0, "llm", "10.0.0." + number, 80, "dc-a", SLOTS, false, 0, version),
                timers.nowNanos());
    }

    private void backOff(String id) {
        state.workers()
                .find(id)
                .ifPresent(worker -> state.workers()
                        .backoffs()
                        .extend(worker.entry().incarnation(), BACKOFF_MILLIS, timers.nowNanos()));
    }

    private void fillAllSlots() {
        while (!add(TIMEOUT_MILLIS, Set.of(), false).answers.isEmpty()) {
            assertThat(running.size()).isLessThan((1 + NEW_ENGINES) * SLOTS + 1);
        }
        requests.get(requests.size() - 1).subscription.dispose();
    }

    private void endAll() {
        endAllAt("");
    }

    private void endAllAt(String prefix) {
        running.stream()
                .filter(placement -> placement.entry().id().startsWith(prefix))
                .forEach(Placement::end);
    }

    private Waiting add(long remainingMillis, Set<String> excludedVersions, boolean isSuspect) {
        Waiting request = new Waiting(call(remainingMillis, excludedVersions, isSuspect));
        requests.add(request);
        request.subscription = queues.admit(request.call).subscribe(result -> {
            request.answers.add(result);
            request.answeredNanos = timers.nowNanos();
            if (result instanceof EngineQueues.AdmissionResult.Dispatched dispatched
                    && dispatched.outcome() instanceof WorkerSelection.Outcome.Placed placed) {
                running.add(placed.placement());
            }
        });
        return request;
    }

    private Call call(long remainingMillis, Set<String> excludedVersions, boolean isSuspect) {
        Call.Attributes attributes = new Call.Attributes(
                "id-" + requests.size(),
                ROUTE,
                UPSTREAM,
                "bank-" + requests.size() % 2,
                requests.size() % 3,
                Optional.of(PROMPT),
                timers.nowNanos(),
                timers.nowNanos() + remainingMillis * NANOS_PER_MILLI,
                Optional.empty());
        Call call = new Call(attributes, HttpMethod.POST, "/1", new DefaultHttpHeaders(), new byte[0]);
        call.versions().exclude(excludedVersions);
        call.setSuspect(isSuspect);
        return call;
    }
}
