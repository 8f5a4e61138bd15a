package org.dotterelcourse.daemon.once;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.ticket.IdempotencyTable;
import org.dotterelcourse.coordination.ticket.TicketCodec;
import org.dotterelcourse.coordination.ticket.TicketCoordinator;
import org.dotterelcourse.coordination.ticket.TicketEffect;
import org.dotterelcourse.coordination.ticket.TicketMinter;
import org.dotterelcourse.coordination.ticket.TicketOutcome;
import org.dotterelcourse.coordination.ticket.TicketSettings;
import org.dotterelcourse.coordination.ticket.TicketVerdict;
import org.dotterelcourse.daemon.kernel.ControlLoop;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Mints and spends tickets, here and at the daemons that minted them, and recognises repeated idempotency keys. */
public final class Tickets implements Service {
    /** The name that it is found by. */
    public static final ServiceName<Tickets> NAME = new ServiceName<>("tickets", Tickets.class);

    private static final String CHANNEL = "tickets";
    private static final Duration TICK = Duration.ofMillis(50);
    private static final int KEY_BYTES = 32;

    /** An entry takes some 200 bytes, so a full table takes 10 MB of an entry VM's memory. */
    private static final int MAX_KEYS = 50_000;

    /** One customer may not fill the table for all others. */
    private static final int MAX_KEYS_PER_CUSTOMER = 10_000;

    /** A caller that still repeats a call after ten minutes is a person, who looks up first whether it ran. */
    private static final long KEY_LIFETIME_NANOS = Duration.ofMinutes(10).toNanos();

    private final Map<Long, MonoSink<Spending>> waiting = new HashMap<>();
    private final IdempotencyTable keys = new IdempotencyTable(MAX_KEYS, MAX_KEYS_PER_CUSTOMER, KEY_LIFETIME_NANOS);
    private ControlLoop loop;
    private Peers peers;
    private TicketMinter mint;
    private TicketCoordinator desk;

    /**
     * What came of a ticketed call's question whether it may run.
     *
     * @param request the call's number, for {@link #finished}
     * @param verdict whether it may
     */
    public record Spending(long request, TicketVerdict verdict) {}

    @Override
    public ServiceName<Tickets> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(ControlLoop.NAME, Peers.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(ControlLoop.NAME);
        peers = kernel.find(Peers.NAME);
        MemberId self = new MemberId(peers.self(), peers.incarnation());
        byte[] key = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(key);
        TicketSettings settings = TicketSettings.defaults();
        mint = new TicketMinter(self, key, settings);
        desk = new TicketCoordinator(self, mint, settings);
        peers.registerListener(CHANNEL, this::received);
        loop.schedulePeriodically(TICK, () -> carryOut(desk.advance(loop.nowNanos())));
        return List.of();
    }

    @Override
    public void stop() {
        // What was minted here ends with the process: nobody else can spend it.
    }

    /**
     * Mints a ticket.
     *
     * @param customer the only customer who may spend it
     * @return the ticket, or when to ask again
     */
    public Mono<TicketMinter.MintResult> mint(String customer) {
        return Mono.create(sink -> loop.execute(() -> sink.success(mint.mint(customer, loop.nowNanos()))));
    }

    /**
     * Asks whether a ticketed call may run.
     *
     * @param ticket the ticket's text
     * @param customer the call's customer
     * @return the verdict; with {@link TicketVerdict.SpendNow}, {@link #finished} must be called
     */
    public Mono<Spending> spend(String ticket, String customer) {
        return Mono.create(sink -> loop.execute(() -> started(desk.spend(ticket, customer, loop.nowNanos()), sink)));
    }

    /**
     * Burns a ticket unless it was spent.
     *
     * @param ticket the ticket's text
     * @param customer the customer
     * @return the verdict
     */
    public Mono<Spending> burn(String ticket, String customer) {
        return Mono.create(sink -> loop.execute(() -> started(desk.burn(ticket, customer, loop.nowNanos()), sink)));
    }

    /**
     * A ticketed call has ended.
     *
     * @param request its number
     * @param outcome what became of it
     */
    public void finished(long request, TicketOutcome outcome) {
        loop.execute(() -> carryOut(desk.recordOutcome(request, outcome, loop.nowNanos())));
    }

    /**
     * Asks whether a call with an idempotency key may run.
     *
     * @param customer its customer
     * @param key the key
     * @param fingerprint a hash of the call
     * @return what it may do; with {@link IdempotencyTable.Registration.First}, {@link #keyFinished} must be called
     */
    public Mono<IdempotencyTable.Registration> enterKey(String customer, String key, long fingerprint) {
        return Mono.create(
                sink -> loop.execute(() -> sink.success(keys.register(customer, key, fingerprint, loop.nowNanos()))));
    }

    /**
     * The first call with an idempotency key has ended.
     *
     * @param customer its customer
     * @param key the key
     * @param outcome what became of it
     */
    public void keyFinished(String customer, String key, TicketOutcome outcome) {
        loop.execute(() -> keys.recordOutcome(customer, key, outcome, loop.nowNanos()));
    }

    private void started(TicketCoordinator.Started started, MonoSink<Spending> sink) {
        waiting.put(started.request(), sink);
        carryOut(started.effects());
    }

    private void received(String from, byte[] body) {
        if (TicketCodec.decode(body) instanceof TicketCodec.Decoded.Message decoded) {
            carryOut(desk.onMessage(from, decoded.message(), loop.nowNanos()));
        }
    }

    private void carryOut(List<TicketEffect> effects) {
        for (TicketEffect effect : effects) {
            if (effect instanceof TicketEffect.Send send) {
                peers.send(send.to(), CHANNEL, TicketCodec.encode(send.message()));
            } else if (effect instanceof TicketEffect.Verdict verdict) {
                MonoSink<Spending> sink = waiting.remove(verdict.request());
                if (sink != null) {
                    sink.success(new Spending(verdict.request(), verdict.verdict()));
                }
            }
        }
    }
}
