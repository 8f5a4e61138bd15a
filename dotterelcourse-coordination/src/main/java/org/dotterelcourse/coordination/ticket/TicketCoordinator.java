package org.dotterelcourse.coordination.ticket;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.dotterelcourse.coordination.MemberId;

/**
 * Decides whether ticketed calls may run: spends the tickets that this process minted, and requests a verdict from the
 * minter for those of other processes. The call itself always runs at the daemon to which its caller is connected, so
 * that its answer does not pass through a second daemon.
 *
 * <p>Each call gets exactly one verdict. If the minter's permission arrives after the call was answered "unknown", the
 * call is not run, and the minter is asked to burn the ticket.
 *
 * <p>A single-threaded state machine: each method takes an event with its time and returns the effects.
 */
public final class TicketCoordinator {
    private static final int RETRANSMISSIONS_PER_TIMEOUT = 4;

    private final MemberId self;
    private final TicketMinter minter;
    private final TicketSettings settings;
    private final Map<Long, Call> calls = new LinkedHashMap<>();
    private long lastRequest;

    /**
     * Creates a coordinator without calls.
     *
     * @param self member name of this process and the incarnation number with which it started
     * @param minter the minter of this process
     * @param settings timeouts and limits
     */
    public TicketCoordinator(MemberId self, TicketMinter minter, TicketSettings settings) {
        this.self = self;
        this.minter = minter;
        this.settings = settings;
    }

    /** State of a call that waits, runs or has messages to send. */
    private enum State {
        AWAITING_VERDICT,
        RUNNING,
        TIMED_OUT,
        REPORTING
    }

    private static final class Call {
        private final TicketToken token;
        private TicketMessage.Body outgoing;
        private final long startNanos;
        private long lastSentNanos;
        private State state = State.AWAITING_VERDICT;

        Call(TicketToken token, TicketMessage.Body outgoing, long nowNanos) {
            this.token = token;
            this.outgoing = outgoing;
            this.startNanos = nowNanos;
            this.lastSentNanos = nowNanos;
        }
    }

    /**
     * Result of {@link #spend} and {@link #burn}.
     *
     * @param request number that identifies the call in its verdict; must be stored before the effects are carried out,
     *     because they may include the verdict
     * @param effects actions that the embedder must carry out
     */
    public record Started(long request, List<TicketEffect> effects) {}

    /**
     * Spends a ticket on an arriving call.
     *
     * @param token encoded ticket from the caller
     * @param customer the call's customer
     * @param nowNanos current monotonic time in nanoseconds
     * @return number of the call and the actions that the embedder must carry out
     */
    public Started spend(String token, String customer, long nowNanos) {
        return start(token, new TicketMessage.Spend(token, customer), nowNanos);
    }

    /**
     * Burns a ticket unless it is spent. After {@link TicketVerdict.Burned}, it is guaranteed that its call did not
     * run and never will.
     *
     * @param token encoded ticket from the caller
     * @param customer the caller's customer
     * @param nowNanos current monotonic time in nanoseconds
     * @return number of this request and the actions that the embedder must carry out
     */
    public Started burn(String token, String customer, long nowNanos) {
        return start(token, new TicketMessage.Burn(token, customer), nowNanos);
    }

    /**
     * Records the outcome of a call that got {@link TicketVerdict.SpendNow}. {@link TicketOutcome.Result#NOT_RUN} is
     * allowed only if no byte of the call reached the upstream, or if the upstream rejected it before it started.
     *
     * @param request number of the call
     * @param outcome outcome of the call
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out
     */
    public List<TicketEffect> recordOutcome(long request, TicketOutcome outcome, long nowNanos) {
        Call call = calls.get(request);
        if (call == null || call.state != State.RUNNING) {
            return List.of();
        }
        return report(request, call, outcome, nowNanos);
    }

    /**
     * Handles a message from another daemon.
     *
     * @param from member name of the sender
     * @param message the message
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out
     */
    public List<TicketEffect> onMessage(String from, TicketMessage message, long nowNanos) {
        if (message.body() instanceof TicketMessage.Answer answer) {
            return onAnswer(from, message, answer.verdict(), nowNanos);
        }
        TicketVerdict verdict = decide(from, message, nowNanos);
        TicketMessage reply = new TicketMessage(message.life(), message.request(), new TicketMessage.Answer(verdict));
        return List.of(new TicketEffect.Send(from, reply));
    }

    /**
     * Advances timers: ends calls whose verdict is overdue, sends unanswered messages again and removes expired calls.
     * Must be called every few tens of milliseconds.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out
     */
    public List<TicketEffect> advance(long nowNanos) {
        List<TicketEffect> effects = new ArrayList<>();
        Iterator<Map.Entry<Long, Call>> iterator = calls.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<Long, Call> entry = iterator.next();
            Call call = entry.getValue();
            if (call.state == State.AWAITING_VERDICT && isTimedOut(call, nowNanos)) {
                effects.addAll(timeOut(entry.getKey(), call, nowNanos));
            } else if (hasEnded(call) && nowNanos - call.startNanos > settings.lifetimeNanos()) {
                iterator.remove();
            } else if (call.state != State.RUNNING && isRetransmissionDue(call, nowNanos)) {
                call.lastSentNanos = nowNanos;
                effects.add(sendEffect(entry.getKey(), call));
            }
        }
        return effects;
    }

    /**
     * Number of calls that wait for a verdict, run, have timed out within the ticket lifetime, or whose outcome the
     * minter has not confirmed.
     *
     * @return the number
     */
    public int size() {
        return calls.size();
    }

    private Started start(String text, TicketMessage.Body outgoing, long nowNanos) {
        lastRequest++;
        long request = lastRequest;
        Optional<TicketToken> token = TicketToken.parse(text);
        if (token.isEmpty()) {
            return immediateVerdict(request, new TicketVerdict.Forged());
        }
        if (!ensureCapacity()) {
            return immediateVerdict(request, new TicketVerdict.Unknown(TicketVerdict.Reason.TOO_MANY_FORWARDED));
        }
        Call call = new Call(token.get(), outgoing, nowNanos);
        if (!minter.isMintedHere(token.get())) {
            calls.put(request, call);
            return new Started(request, List.of(sendEffect(request, call)));
        }
        TicketVerdict verdict = decide(self.name(), new TicketMessage(self.incarnation(), request, outgoing), nowNanos);
        if (verdict instanceof TicketVerdict.SpendNow) {
            call.state = State.RUNNING;
            calls.put(request, call);
        }
        return immediateVerdict(request, verdict);
    }

    private TicketVerdict decide(String from, TicketMessage message, long nowNanos) {
        TicketHolder holder = new TicketHolder(from, message.life(), message.request());
        if (message.body() instanceof TicketMessage.Spend spend) {
            return parseOwn(spend.token())
                    .map(token -> minter.spend(token, spend.customer(), holder, nowNanos))
                    .orElse(new TicketVerdict.Forged());
        }
        if (message.body() instanceof TicketMessage.Report report) {
            return parseOwn(report.token())
                    .map(token -> minter.report(token, holder, report.outcome(), nowNanos))
                    .orElse(new TicketVerdict.Forged());
        }
        TicketMessage.Burn burn = (TicketMessage.Burn) message.body();
        return parseOwn(burn.token())
                .map(token -> minter.burn(token, burn.customer(), holder, nowNanos))
                .orElse(new TicketVerdict.Forged());
    }

    private Optional<TicketToken> parseOwn(String text) {
        return TicketToken.parse(text).filter(minter::isMintedHere);
    }

    private List<TicketEffect> onAnswer(String from, TicketMessage message, TicketVerdict verdict, long nowNanos) {
        Call call = message.life() == self.incarnation() ? calls.get(message.request()) : null;
        if (call == null || !from.equals(call.token.minter().name()) || call.state == State.RUNNING) {
            // Duplicate permission: the call is already running or has ended.
            return List.of();
        }
        boolean permission = verdict instanceof TicketVerdict.SpendNow;
        if (hasEnded(call)) {
            if (!permission) {
                calls.remove(message.request());
            }
            return List.of();
        }
        if (isTimedOut(call, nowNanos)) {
            // This process was paused past the timeout. The caller no longer waits, so the call must not run any more.
            return timeOut(message.request(), call, nowNanos);
        }
        if (permission) {
            call.state = State.RUNNING;
        } else {
            calls.remove(message.request());
        }
        return List.of(new TicketEffect.Verdict(message.request(), verdict));
    }

    /** Reports the outcome to the minter until it confirms. Until then, duplicates of the call get no outcome. */
    private List<TicketEffect> report(long request, Call call, TicketOutcome outcome, long nowNanos) {
        if (minter.isMintedHere(call.token)) {
            calls.remove(request);
            minter.report(call.token, new TicketHolder(self.name(), self.incarnation(), request), outcome, nowNanos);
            return List.of();
        }
        call.state = State.REPORTING;
        call.outgoing = new TicketMessage.Report(call.token.text(), outcome);
        call.lastSentNanos = nowNanos;
        return List.of(sendEffect(request, call));
    }

    /**
     * Answers "unknown" and asks the minter to burn the ticket unless another call has spent it. The minter may have
     * sent a permission that was lost. Without the burn, the ticket would stay spent and no caller could learn that the
     * call did not run.
     */
    private List<TicketEffect> timeOut(long request, Call call, long nowNanos) {
        call.state = State.TIMED_OUT;
        if (call.outgoing instanceof TicketMessage.Spend spend) {
            call.outgoing = new TicketMessage.Burn(spend.token(), spend.customer());
        }
        call.lastSentNanos = nowNanos;
        return List.of(unreachableVerdict(request), sendEffect(request, call));
    }

    private static boolean hasEnded(Call call) {
        return call.state == State.TIMED_OUT || call.state == State.REPORTING;
    }

    /**
     * Removes the oldest call that has ended here if the limit is reached; its outcome may then stay unknown. Returns
     * false if there is none to remove.
     */
    private boolean ensureCapacity() {
        if (calls.size() < settings.maxForwarded()) {
            return true;
        }
        Iterator<Call> iterator = calls.values().iterator();
        while (iterator.hasNext()) {
            if (hasEnded(iterator.next())) {
                iterator.remove();
                return true;
            }
        }
        return false;
    }

    private boolean isTimedOut(Call call, long nowNanos) {
        return nowNanos - call.startNanos >= settings.answerTimeoutNanos();
    }

    /**
     * Retransmits often while the caller waits for the verdict, and once per timeout after the caller has its answer.
     */
    private boolean isRetransmissionDue(Call call, long nowNanos) {
        long timeout = settings.answerTimeoutNanos();
        return nowNanos - call.lastSentNanos >= (hasEnded(call) ? timeout : timeout / RETRANSMISSIONS_PER_TIMEOUT);
    }

    private TicketEffect sendEffect(long request, Call call) {
        TicketMessage message = new TicketMessage(self.incarnation(), request, call.outgoing);
        return new TicketEffect.Send(call.token.minter().name(), message);
    }

    private static TicketEffect unreachableVerdict(long request) {
        return new TicketEffect.Verdict(request, new TicketVerdict.Unknown(TicketVerdict.Reason.UNREACHABLE));
    }

    private static Started immediateVerdict(long request, TicketVerdict verdict) {
        return new Started(request, List.of(new TicketEffect.Verdict(request, verdict)));
    }
}
