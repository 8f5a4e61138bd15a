package org.dotterelcourse.daemon.limits;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.Customer;
import org.dotterelcourse.coordination.limit.Amount;
import org.dotterelcourse.coordination.limit.Budget;
import org.dotterelcourse.coordination.limit.ChargeResult;
import org.dotterelcourse.coordination.limit.LimitClient;
import org.dotterelcourse.coordination.limit.LimitCodec;
import org.dotterelcourse.coordination.limit.LimitEffect;
import org.dotterelcourse.coordination.limit.LimitMessage;
import org.dotterelcourse.coordination.limit.LimitOwner;
import org.dotterelcourse.coordination.limit.LimitSettings;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.ownership.Ownership;
import org.dotterelcourse.daemon.kernel.ControlLoop;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.daemon.platform.ConfigurationStore;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Charges requests to customers' budgets, and keeps the budgets of the customers whose home this daemon is. A customer is
 * only taken up when it calls, or when another daemon asks for a part of its budget: of 18,000 customers a daemon meets
 * a few hundred.
 */
public final class Limits implements Service {
    /** The name that it is found by. */
    public static final ServiceName<Limits> NAME = new ServiceName<>("limits", Limits.class);

    private static final String CHANNEL = "limits";
    private static final Duration TICK = Duration.ofMillis(50);

    /** A page of questions or a counter's rush comes within a few seconds; more than that is a rate, not a burst. */
    private static final int BURST_SECONDS = 4;

    /**
     * A call that fits its budget this soon waits for it instead of being refused. A daemon that
     * goes on alone because a home has died starts with nothing, and would else refuse for a few milliseconds.
     */
    private static final long LONGEST_HOLD_NANOS = 250_000_000L;

    private static final long NOT_HELD = Long.MIN_VALUE;

    /** Calls of one customer that may wait for its budget; a hot customer is refused, not collected. */
    private static final int MAX_HELD = 64;

    private final Map<String, Integer> held = new HashMap<>();
    private final Map<String, Deque<Waiting>> waiting = new HashMap<>();
    private final Set<String> met = new HashSet<>();
    private ControlLoop loop;
    private Peers peers;
    private String region;
    private LimitClient client;
    private LimitOwner home;
    private Ownership ownership;
    private Configuration configuration;

    private record Waiting(String customer, long tokens, long untilNanos, MonoSink<Charge> sink) {}

    @Override
    public ServiceName<Limits> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(ControlLoop.NAME, Peers.NAME, ConfigurationStore.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(ControlLoop.NAME);
        peers = kernel.find(Peers.NAME);
        region = peers.region();
        LimitSettings settings = LimitSettings.defaults().withInitialFill(1);
        client = new LimitClient(peers.incarnation(), settings, this::homeOf);
        home = new LimitOwner(settings, loop.nowNanos());
        ownership = new Ownership(List.of(), 0, loop.nowNanos());
        peers.registerListener(CHANNEL, this::received);
        peers.onView(this::view);
        kernel.find(ConfigurationStore.NAME).onChange(next -> loop.execute(() -> configured(next)));
        loop.schedulePeriodically(TICK, () -> carryOut(client.advance(loop.nowNanos())));
        return List.of();
    }

    @Override
    public void stop() {
        // Slices that are still held run out with the budget's own rate.
    }

    /**
     * Charges a request.
     *
     * @param customer its customer
     * @param tokens the estimate of its prompt and answer
     * @return one value, after a round trip to the customer's home at most
     */
    public Mono<Charge> charge(String customer, long tokens) {
        return Mono.create(sink ->
                loop.execute(() -> take(new Waiting(customer, tokens, loop.nowNanos() + LONGEST_HOLD_NANOS, sink))));
    }

    private void take(Waiting call) {
        ChargeResult taking = client.charge(call.customer(), call.tokens(), loop.nowNanos());
        if (taking instanceof ChargeResult.UnknownCustomer && meet(call.customer())) {
            taking = client.charge(call.customer(), call.tokens(), loop.nowNanos());
        }
        if (taking instanceof ChargeResult.Charged taken) {
            call.sink().success(new Charge.Charged(used -> settle(call.customer(), taken.charged(), used)));
            carryOut(taken.effects());
        } else if (taking instanceof ChargeResult.AwaitingSlice waits) {
            waiting.computeIfAbsent(call.customer(), name -> new ArrayDeque<>()).add(call);
            carryOut(waits.effects());
        } else if (taking instanceof ChargeResult.OverBudget over) {
            overBudget(call, over.retryAfterNanos());
        } else {
            // The customer left the configuration between its request's arrival and now.
            call.sink().success(new Charge.OverBudget(0));
        }
    }

    private void overBudget(Waiting call, long retryAfterNanos) {
        // Counted from the first time that the budget is short, not from the arrival: a call whose home has just died
        // has
        // waited longer than that already, and its part of the budget begins to fill only now.
        long untilNanos = call.untilNanos() == NOT_HELD ? loop.nowNanos() + LONGEST_HOLD_NANOS : call.untilNanos();
        boolean soon = loop.nowNanos() + retryAfterNanos <= untilNanos;
        if (!soon || held.getOrDefault(call.customer(), 0) >= MAX_HELD) {
            call.sink().success(new Charge.OverBudget(retryAfterNanos));
            return;
        }
        held.merge(call.customer(), 1, Integer::sum);
        loop.scheduleOnce(retryAfterNanos, () -> {
            held.computeIfPresent(call.customer(), (name, count) -> count == 1 ? null : count - 1);
            take(new Waiting(call.customer(), call.tokens(), untilNanos, call.sink()));
        });
    }

    private void settle(String customer, Amount charged, long used) {
        loop.execute(() -> client.settle(customer, charged, used, loop.nowNanos()));
    }

    private boolean meet(String customer) {
        Optional<Budget> budget = budget(customer);
        budget.ifPresent(known -> {
            met.add(customer);
            client.setBudget(customer, known, loop.nowNanos());
        });
        return budget.isPresent();
    }

    private Optional<Budget> budget(String customer) {
        return configuration == null
                ? Optional.empty()
                : configuration.customer(customer).map(Limits::budget);
    }

    private static Budget budget(Customer customer) {
        long requests = (long) Math.max(1, Math.ceil(customer.requestsPerSecond()));
        long tokens = (long) Math.max(1, Math.ceil(customer.tokensPerSecond()));
        return new Budget(new Amount(requests, tokens), new Amount(BURST_SECONDS * requests, BURST_SECONDS * tokens));
    }

    private void received(String from, byte[] body) {
        if (LimitCodec.decode(body) instanceof LimitCodec.Decoded.Message decoded) {
            dispatch(from, decoded.message());
        }
    }

    private void dispatch(String from, LimitMessage message) {
        if (message instanceof LimitMessage.Slices slices) {
            carryOut(client.onMessage(slices, loop.nowNanos()));
        } else if (message instanceof LimitMessage.Wants wants) {
            wants.wants().forEach(want -> holdIfOurs(want.customer()));
            carryOut(home.onMessage(from, wants, loop.nowNanos()));
        }
    }

    /** Two daemons may each take themselves for the home while their views differ; each leases the budget then. */
    private void holdIfOurs(String customer) {
        Optional<Budget> budget = budget(customer);
        boolean ours = homeOf(customer).filter(peers.self()::equals).isPresent();
        if (ours && budget.isPresent()) {
            home.setBudget(customer, budget.get(), loop.nowNanos());
        } else {
            home.removeCustomer(customer);
        }
    }

    private Optional<String> homeOf(String customer) {
        return ownership.customerOwner(customer, region).map(Member::name);
    }

    private void carryOut(List<LimitEffect> effects) {
        for (LimitEffect effect : effects) {
            if (effect instanceof LimitEffect.Send send) {
                send(send.to(), send.message());
            } else if (effect instanceof LimitEffect.Refilled refilled) {
                Deque<Waiting> calls = waiting.remove(refilled.customer());
                if (calls != null) {
                    calls.forEach(this::take);
                }
            }
        }
    }

    private void send(String member, LimitMessage message) {
        if (member.equals(peers.self())) {
            loop.execute(() -> dispatch(member, message));
        } else {
            peers.send(member, CHANNEL, LimitCodec.encode(message));
        }
    }

    private void view(List<Member> members) {
        ownership = new Ownership(members, Peers.SUSPECT_GRACE_NANOS, loop.nowNanos());
        client.setLiveMembers((int) members.stream()
                .filter(member -> member.state() == MemberState.ALIVE)
                .count());
    }

    private void configured(Configuration next) {
        configuration = next;
        met.removeIf(customer -> {
            Optional<Budget> budget = budget(customer);
            budget.ifPresent(known -> client.setBudget(customer, known, loop.nowNanos()));
            if (budget.isEmpty()) {
                client.removeCustomer(customer);
            }
            return budget.isEmpty();
        });
    }
}
