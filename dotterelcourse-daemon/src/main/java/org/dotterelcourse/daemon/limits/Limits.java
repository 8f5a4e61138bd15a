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
 * Charges requests to customers' budgets (distributed token buckets), and manages the budgets of the customers that this
 * daemon owns. A customer is registered only when it sends a request or when another daemon requests a part of its budget,
 * because a daemon serves only a few hundred of 18,000 customers.
 */
public final class Limits implements Service {
    /** The service name under which the kernel registers the limits. */
    public static final ServiceName<Limits> NAME = new ServiceName<>("limits", Limits.class);

    private static final String CHANNEL = "limits";
    private static final Duration TICK = Duration.ofMillis(50);

    /**
     * Burst capacity in seconds of the budget's rate. A page of questions or a rush at a counter arrives within a
     * few seconds; anything longer is a rate, not a burst.
     */
    private static final int BURST_SECONDS = 4;

    /**
     * A call whose budget suffices within this time is held instead of refused. Without this, a daemon that enforces a
     * budget alone after the budget's owner has died refuses calls for a few milliseconds, because it starts with none.
     */
    private static final long MAX_HOLD_NANOS = 250_000_000L;

    private static final long NO_DEADLINE = Long.MIN_VALUE;

    /** Maximum number of held calls of one customer, so that calls of a customer far over its budget don't accumulate. */
    private static final int MAX_HELD_CALLS = 64;

    private final Map<String, Integer> heldCalls = new HashMap<>();
    private final Map<String, Deque<PendingCall>> pendingCalls = new HashMap<>();
    private final Set<String> registeredCustomers = new HashSet<>();
    private ControlLoop loop;
    private Peers peers;
    private String region;
    private LimitClient client;
    private LimitOwner ownedBudgets;
    private Ownership ownership;
    private Configuration configuration;

    private record PendingCall(String customer, long tokens, long deadlineNanos, MonoSink<Charge> sink) {}

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
        client = new LimitClient(peers.incarnation(), settings, this::ownerOf);
        ownedBudgets = new LimitOwner(settings, loop.nowNanos());
        ownership = new Ownership(List.of(), 0, loop.nowNanos());
        peers.registerListener(CHANNEL, this::onMessage);
        peers.onView(this::onMembershipChanged);
        kernel.find(ConfigurationStore.NAME)
                .onChange(newConfiguration -> loop.execute(() -> onConfigurationChanged(newConfiguration)));
        loop.schedulePeriodically(TICK, () -> applyEffects(client.advance(loop.nowNanos())));
        return List.of();
    }

    @Override
    public void stop() {
        // Budget slices still leased to this daemon expire at the budget's own rate.
    }

    /**
     * Charges a request to its customer's budget.
     *
     * @param customer the name of the customer
     * @param tokens the estimated number of prompt and answer tokens
     * @return the result, never an error; at the latest after a round trip to the owner of the customer's budget and, if the
     *     budget is short, 250 ms of holding
     */
    public Mono<Charge> charge(String customer, long tokens) {
        return Mono.create(sink -> loop.execute(
                () -> tryCharge(new PendingCall(customer, tokens, loop.nowNanos() + MAX_HOLD_NANOS, sink))));
    }

    private void tryCharge(PendingCall call) {
        ChargeResult result = client.charge(call.customer(), call.tokens(), loop.nowNanos());
        if (result instanceof ChargeResult.UnknownCustomer && registerCustomer(call.customer())) {
            result = client.charge(call.customer(), call.tokens(), loop.nowNanos());
        }
        if (result instanceof ChargeResult.Charged taken) {
            call.sink().success(new Charge.Charged(used -> settle(call.customer(), taken.charged(), used)));
            applyEffects(taken.effects());
        } else if (result instanceof ChargeResult.AwaitingSlice pending) {
            pendingCalls
                    .computeIfAbsent(call.customer(), name -> new ArrayDeque<>())
                    .add(call);
            applyEffects(pending.effects());
        } else if (result instanceof ChargeResult.OverBudget over) {
            overBudget(call, over.retryAfterNanos());
        } else {
            // The customer was removed from the configuration after the request arrived.
            call.sink().success(new Charge.OverBudget(0));
        }
    }

    private void overBudget(PendingCall call, long retryAfterNanos) {
        // Without a deadline, the hold time starts now and not at the arrival: a call whose budget owner has just died
        // has already waited longer than the hold time, and the local share of the budget starts to fill only now.
        long deadlineNanos =
                call.deadlineNanos() == NO_DEADLINE ? loop.nowNanos() + MAX_HOLD_NANOS : call.deadlineNanos();
        boolean withinDeadline = loop.nowNanos() + retryAfterNanos <= deadlineNanos;
        if (!withinDeadline || heldCalls.getOrDefault(call.customer(), 0) >= MAX_HELD_CALLS) {
            call.sink().success(new Charge.OverBudget(retryAfterNanos));
            return;
        }
        heldCalls.merge(call.customer(), 1, Integer::sum);
        loop.scheduleOnce(retryAfterNanos, () -> {
            heldCalls.computeIfPresent(call.customer(), (name, count) -> count == 1 ? null : count - 1);
            tryCharge(new PendingCall(call.customer(), call.tokens(), deadlineNanos, call.sink()));
        });
    }

    private void settle(String customer, Amount charged, long used) {
        loop.execute(() -> client.settle(customer, charged, used, loop.nowNanos()));
    }

    private boolean registerCustomer(String customer) {
        Optional<Budget> budget = budget(customer);
        budget.ifPresent(found -> {
            registeredCustomers.add(customer);
            client.setBudget(customer, found, loop.nowNanos());
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

    private void onMessage(String from, byte[] body) {
        if (LimitCodec.decode(body) instanceof LimitCodec.Decoded.Message decoded) {
            dispatch(from, decoded.message());
        }
    }

    private void dispatch(String from, LimitMessage message) {
        if (message instanceof LimitMessage.Slices slices) {
            applyEffects(client.onMessage(slices, loop.nowNanos()));
        } else if (message instanceof LimitMessage.Wants wants) {
            wants.wants().forEach(want -> updateOwnership(want.customer()));
            applyEffects(ownedBudgets.onMessage(from, wants, loop.nowNanos()));
        }
    }

    /**
     * Updates whether this daemon owns a budget. While membership views differ, two daemons may both consider themselves
     * the owner, and each leases the budget.
     */
    private void updateOwnership(String customer) {
        Optional<Budget> budget = budget(customer);
        boolean isOwner = ownerOf(customer).filter(peers.self()::equals).isPresent();
        if (isOwner && budget.isPresent()) {
            ownedBudgets.setBudget(customer, budget.get(), loop.nowNanos());
        } else {
            ownedBudgets.removeCustomer(customer);
        }
    }

    private Optional<String> ownerOf(String customer) {
        return ownership.customerOwner(customer, region).map(Member::name);
    }

    private void applyEffects(List<LimitEffect> effects) {
        for (LimitEffect effect : effects) {
            if (effect instanceof LimitEffect.Send send) {
                send(send.to(), send.message());
            } else if (effect instanceof LimitEffect.Refilled refilled) {
                Deque<PendingCall> calls = pendingCalls.remove(refilled.customer());
                if (calls != null) {
                    calls.forEach(this::tryCharge);
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

    private void onMembershipChanged(List<Member> members) {
        ownership = new Ownership(members, Peers.SUSPECT_GRACE_NANOS, loop.nowNanos());
        client.setLiveMembers((int) members.stream()
                .filter(member -> member.state() == MemberState.ALIVE)
                .count());
    }

    private void onConfigurationChanged(Configuration newConfiguration) {
        configuration = newConfiguration;
        registeredCustomers.removeIf(customer -> {
            Optional<Budget> budget = budget(customer);
            budget.ifPresent(found -> client.setBudget(customer, found, loop.nowNanos()));
            if (budget.isEmpty()) {
                client.removeCustomer(customer);
            }
            return budget.isEmpty();
        });
    }
}
