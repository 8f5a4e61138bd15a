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

/**
 * Mints tickets, spends them at the daemons that minted them, and detects repeated idempotency keys. A ticket entitles a
 * call to run at most once.
 */
public final class Tickets implements Service {
    /** The service name under which the kernel registers the tickets. */
    public static final ServiceName<Tickets> NAME = new ServiceName<>("tickets", Tickets.class);

    private static final String CHANNEL = "tickets";
    private static final Duration TICK = Duration.ofMillis(50);
    private static final int KEY_BYTES = 32;

    /** An entry takes about 200 bytes, so a full table takes 10 MB of an entry VM's memory. */
    private static final int MAX_KEYS = 50_000;

    /** Prevents one customer from filling the table for all others. */
    private static final int MAX_KEYS_PER_CUSTOMER = 10_000;

    /** After ten minutes calls are only repeated by people, who first check whether the call was executed. */
    private static final long KEY_LIFETIME_NANOS = Duration.ofMinutes(10).toNanos();

    private final Map<Long, MonoSink<Spending>> pendingRequests = new HashMap<>();
    private final IdempotencyTable keys = new IdempotencyTable(MAX_KEYS, MAX_KEYS_PER_CUSTOMER, KEY_LIFETIME_NANOS);
    private ControlLoop loop;
    private Peers peers;
    private TicketMinter mint;
    private TicketCoordinator desk;

    /**
     * Result of spending or burning a ticket.
     *
     * @param request the request number, to be passed to {@link #finished}
     * @param verdict the verdict on the ticket
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
        peers.registerListener(CHANNEL, this::onMessage);
        loop.schedulePeriodically(TICK, () -> applyEffects(desk.advance(loop.nowNanos())));
        return List.of();
    }

    @Override
    public void stop() {
        // Tickets minted by this process become invalid, because no other daemon can spend them.
    }

    /**
     * Mints a ticket.
     *
     * @param customer the customer, the only one that may spend the ticket
     * @return the ticket, or the time until a retry may succeed
     */
    public Mono<TicketMinter.MintResult> mint(String customer) {
        return Mono.create(sink -> loop.execute(() -> sink.success(mint.mint(customer, loop.nowNanos()))));
    }

    /**
     * Spends a ticket to run a call.
     *
     * @param ticket the text of the ticket
     * @param customer the name of the customer
     * @return the verdict; with {@link TicketVerdict.SpendNow}, {@link #finished} must be called
     */
    public Mono<Spending> spend(String ticket, String customer) {
        return Mono.create(sink -> loop.execute(() -> submit(desk.spend(ticket, customer, loop.nowNanos()), sink)));
    }

    /**
     * Burns a ticket, which prevents it from being spent later, unless it was already spent.
     *
     * @param ticket the text of the ticket
     * @param customer the name of the customer
     * @return the verdict on the ticket
     */
    public Mono<Spending> burn(String ticket, String customer) {
        return Mono.create(sink -> loop.execute(() -> submit(desk.burn(ticket, customer, loop.nowNanos()), sink)));
    }

    /**
     * Records the end of a call with a ticket.
     *
     * @param request the request number from {@link Spending}
     * @param outcome the outcome of the call
     */
    public void finished(long request, TicketOutcome outcome) {
        loop.execute(() -> applyEffects(desk.recordOutcome(request, outcome, loop.nowNanos())));
    }

    /**
     * Registers a call with an idempotency key.
     *
     * @param customer the name of the customer
     * @param key the idempotency key
     * @param fingerprint a hash of the call, to detect the use of the key for another call
     * @return whether the call may run; with {@link IdempotencyTable.Registration.First}, {@link #keyFinished} must be called
     */
    public Mono<IdempotencyTable.Registration> enterKey(String customer, String key, long fingerprint) {
        return Mono.create(
                sink -> loop.execute(() -> sink.success(keys.register(customer, key, fingerprint, loop.nowNanos()))));
    }

    /**
     * Records the end of the first call with an idempotency key.
     *
     * @param customer the name of the customer
     * @param key the idempotency key
     * @param outcome the outcome of the call
     */
    public void keyFinished(String customer, String key, TicketOutcome outcome) {
        loop.execute(() -> keys.recordOutcome(customer, key, outcome, loop.nowNanos()));
    }

    private void submit(TicketCoordinator.Started started, MonoSink<Spending> sink) {
        pendingRequests.put(started.request(), sink);
        applyEffects(started.effects());
    }

    private void onMessage(String from, byte[] body) {
        if (TicketCodec.decode(body) instanceof TicketCodec.Decoded.Message decoded) {
            applyEffects(desk.onMessage(from, decoded.message(), loop.nowNanos()));
        }
    }

    private void applyEffects(List<TicketEffect> effects) {
        for (TicketEffect effect : effects) {
            if (effect instanceof TicketEffect.Send send) {
                peers.send(send.to(), CHANNEL, TicketCodec.encode(send.message()));
            } else if (effect instanceof TicketEffect.Verdict verdict) {
                MonoSink<Spending> sink = pendingRequests.remove(verdict.request());
                if (sink != null) {
                    sink.success(new Spending(verdict.request(), verdict.verdict()));
                }
            }
        }
    }
}
