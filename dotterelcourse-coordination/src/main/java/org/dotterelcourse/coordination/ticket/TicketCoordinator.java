package org.dotterelcourse.coordination.ticket;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.dotterelcourse.coordination.MemberId;

/**
 * A daemon's part in ticketed calls: mints, spends its own tickets, and asks the minter about those of others. What
 * goes to the minter is the question whether the call may run; the call itself runs here, where its caller is connected,
 * so that an answer never passes through a second daemon.
 *
 * <p>A call gets one verdict. A permission that comes after the call was answered "unknown" is not used, and the minter
 * is asked to burn the ticket.
 */
public final class TicketCoordinator {
    private static final int REPEATS_PER_TIMEOUT = 4;

    private final MemberId self;
    private final TicketMinter mint;
    private final TicketSettings settings;
    private final Map<Long, Call> calls = new LinkedHashMap<>();
    private long lastRequest;

    /**
     * Makes a desk.
     *
     * @param self this process: its name, and the incarnation with which it started
     * @param mint this process's own mint
     * @param settings times and bounds
     */
    public TicketCoordinator(MemberId self, TicketMinter mint, TicketSettings settings) {
        this.self = self;
        this.mint = mint;
        this.settings = settings;
    }

    /** Where a call stands. */
    private enum State {
        ASKED,
        RUNNING,
        GIVEN_UP,
        REPORTING
    }

    private static final class Call {
        private final TicketToken token;
        private TicketMessage.Body question;
        private final long askedNanos;
        private long lastSentNanos;
        private State state = State.ASKED;

        Call(TicketToken token, TicketMessage.Body question, long nowNanos) {
            this.token = token;
            this.question = question;
            this.askedNanos = nowNanos;
            this.lastSentNanos = nowNanos;
        }
    }

    /**
     * The result of {@link #spend} and {@link #burn}.
     *
     * @param request the number by which the verdict names the call, to be noted before the effects are carried out
     * @param effects what to do
     */
    public record Started(long request, List<TicketEffect> effects) {}

    /**
     * A ticketed call has arrived.
     *
     * @param token the ticket's text
     * @param customer the call's customer
     * @param nowNanos the time
     * @return the call's number and what to do
     */
    public Started spend(String token, String customer, long nowNanos) {
        return start(token, new TicketMessage.Spend(token, customer), nowNanos);
    }

    /**
     * A caller asks that a ticket is burned unless it was spent, to learn for sure that its call did not run.
     *
     * @param token the ticket's text
     * @param customer the customer
     * @param nowNanos the time
     * @return the call's number and what to do
     */
    public Started burn(String token, String customer, long nowNanos) {
        return start(token, new TicketMessage.Burn(token, customer), nowNanos);
    }

    /**
     * A call that was told {@link TicketVerdict.SpendNow} has ended. {@link TicketOutcome.Result#NOT_RUN} may only be
     * said if no byte of it reached the upstream, or the upstream refused before start.
     *
     * @param request the call's number
     * @param outcome what became of it
     * @param nowNanos the time
     * @return what to do
     */
    public List<TicketEffect> recordOutcome(long request, TicketOutcome outcome, long nowNanos) {
        Call call = calls.get(request);
        if (call == null || call.state != State.RUNNING) {
            return List.of();
        }
        return report(request, call, outcome, nowNanos);
    }

    /**
     * A message has arrived.
     *
     * @param from the sender's member name
     * @param message the message
     * @param nowNanos the time
     * @return what to do
     */
    public List<TicketEffect> onMessage(String from, TicketMessage message, long nowNanos) {
        if (message.body() instanceof TicketMessage.Answer answer) {
            return answered(from, message, answer.verdict(), nowNanos);
        }
        TicketVerdict verdict = decide(from, message, nowNanos);
        TicketMessage reply = new TicketMessage(message.life(), message.request(), new TicketMessage.Answer(verdict));
        return List.of(new TicketEffect.Send(from, reply));
    }

    /**
     * Time has passed. To be called every few tens of milliseconds.
     *
     * @param nowNanos the time
     * @return what to do
     */
    public List<TicketEffect> advance(long nowNanos) {
        List<TicketEffect> effects = new ArrayList<>();
        Iterator<Map.Entry<Long, Call>> each = calls.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<Long, Call> entry = each.next();
            Call call = entry.getValue();
            if (call.state == State.ASKED && late(call, nowNanos)) {
                effects.addAll(giveUp(entry.getKey(), call, nowNanos));
            } else if (ended(call) && nowNanos - call.askedNanos > settings.lifetimeNanos()) {
                each.remove();
            } else if (call.state != State.RUNNING && repeatDue(call, nowNanos)) {
                call.lastSentNanos = nowNanos;
                effects.add(question(entry.getKey(), call));
            }
        }
        return effects;
    }

    /**
     * Calls that wait for a verdict, run, were given up not long ago, or whose outcome the minter hasn't confirmed.
     *
     * @return how many
     */
    public int size() {
        return calls.size();
    }

    private Started start(String text, TicketMessage.Body question, long nowNanos) {
        lastRequest++;
        long request = lastRequest;
        Optional<TicketToken> token = TicketToken.parse(text);
        if (token.isEmpty()) {
            return decided(request, new TicketVerdict.Forged());
        }
        if (!makeRoom()) {
            return decided(request, new TicketVerdict.Unknown(TicketVerdict.Reason.TOO_MANY_FORWARDED));
        }
        Call call = new Call(token.get(), question, nowNanos);
        if (!mint.minted(token.get())) {
            calls.put(request, call);
            return new Started(request, List.of(question(request, call)));
        }
        TicketVerdict verdict = decide(self.name(), new TicketMessage(self.incarnation(), request, question), nowNanos);
        if (verdict instanceof TicketVerdict.SpendNow) {
            call.state = State.RUNNING;
            calls.put(request, call);
        }
        return decided(request, verdict);
    }

    private TicketVerdict decide(String from, TicketMessage message, long nowNanos) {
        TicketHolder holder = new TicketHolder(from, message.life(), message.request());
        if (message.body() instanceof TicketMessage.Spend spend) {
            return own(spend.token())
                    .map(token -> mint.spend(token, spend.customer(), holder, nowNanos))
                    .orElse(new TicketVerdict.Forged());
        }
        if (message.body() instanceof TicketMessage.Report report) {
            return own(report.token())
                    .map(token -> mint.report(token, holder, report.outcome(), nowNanos))
                    .orElse(new TicketVerdict.Forged());
        }
        TicketMessage.Burn burn = (TicketMessage.Burn) message.body();
        return own(burn.token())
                .map(token -> mint.burn(token, burn.customer(), holder, nowNanos))
                .orElse(new TicketVerdict.Forged());
    }

    private Optional<TicketToken> own(String text) {
        return TicketToken.parse(text).filter(mint::minted);
    }

    private List<TicketEffect> answered(String from, TicketMessage message, TicketVerdict verdict, long nowNanos) {
        Call call = message.life() == self.incarnation() ? calls.get(message.request()) : null;
        if (call == null || !from.equals(call.token.minter().name()) || call.state == State.RUNNING) {
            // A second copy of the permission: the call runs already, or has ended.
            return List.of();
        }
        boolean permission = verdict instanceof TicketVerdict.SpendNow;
        if (ended(call)) {
            if (!permission) {
                calls.remove(message.request());
            }
            return List.of();
        }
        if (late(call, nowNanos)) {
            // The process was paused and the caller has long gone; running the call now would do so behind its back.
            return giveUp(message.request(), call, nowNanos);
        }
        if (permission) {
            call.state = State.RUNNING;
        } else {
            calls.remove(message.request());
        }
        return List.of(new TicketEffect.Verdict(message.request(), verdict));
    }

    /** Tells the minter the outcome, again and again until it confirms; its duplicates hear "unknown" until then. */
    private List<TicketEffect> report(long request, Call call, TicketOutcome outcome, long nowNanos) {
        if (mint.minted(call.token)) {
            calls.remove(request);
            mint.report(call.token, new TicketHolder(self.name(), self.incarnation(), request), outcome, nowNanos);
            return List.of();
        }
        call.state = State.REPORTING;
        call.question = new TicketMessage.Report(call.token.text(), outcome);
        call.lastSentNanos = nowNanos;
        return List.of(question(request, call));
    }

    /**
     * Answers "unknown", and has the minter burn the ticket unless another call was first. The permission may have been
     * given and lost, and then nobody would ever learn that the call did not run.
     */
    private List<TicketEffect> giveUp(long request, Call call, long nowNanos) {
        call.state = State.GIVEN_UP;
        if (call.question instanceof TicketMessage.Spend spend) {
            call.question = new TicketMessage.Burn(spend.token(), spend.customer());
        }
        call.lastSentNanos = nowNanos;
        return List.of(unreachable(request), question(request, call));
    }

    private static boolean ended(Call call) {
        return call.state == State.GIVEN_UP || call.state == State.REPORTING;
    }

    /** Forgets the oldest call that has ended here if there are too many; its outcome may then stay unknown. */
    private boolean makeRoom() {
        if (calls.size() < settings.maxForwarded()) {
            return true;
        }
        Iterator<Call> each = calls.values().iterator();
        while (each.hasNext()) {
            if (ended(each.next())) {
                each.remove();
                return true;
            }
        }
        return false;
    }

    private boolean late(Call call, long nowNanos) {
        return nowNanos - call.askedNanos >= settings.answerTimeoutNanos();
    }

    /** An open question is urgent; what is sent after the caller has its answer is not. */
    private boolean repeatDue(Call call, long nowNanos) {
        long timeout = settings.answerTimeoutNanos();
        return nowNanos - call.lastSentNanos >= (ended(call) ? timeout : timeout / REPEATS_PER_TIMEOUT);
    }

    private TicketEffect question(long request, Call call) {
        TicketMessage message = new TicketMessage(self.incarnation(), request, call.question);
        return new TicketEffect.Send(call.token.minter().name(), message);
    }

    private static TicketEffect unreachable(long request) {
        return new TicketEffect.Verdict(request, new TicketVerdict.Unknown(TicketVerdict.Reason.UNREACHABLE));
    }

    private static Started decided(long request, TicketVerdict verdict) {
        return new Started(request, List.of(new TicketEffect.Verdict(request, verdict)));
    }
}
