package org.dotterelcourse.coordination.measure;

import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.configuration.ConfigurationDriver;
import org.dotterelcourse.coordination.configuration.ConfigurationRelay;
import org.dotterelcourse.coordination.configuration.RelayEffect;
import org.dotterelcourse.coordination.configuration.RelayEvent;
import org.dotterelcourse.coordination.configuration.RelaySettings;
import org.dotterelcourse.coordination.membership.ListedVm;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.membership.Membership;
import org.dotterelcourse.coordination.membership.MembershipDriver;
import org.dotterelcourse.coordination.membership.MembershipEffect;
import org.dotterelcourse.coordination.membership.MembershipEvent;
import org.dotterelcourse.coordination.membership.MembershipSettings;
import org.dotterelcourse.coordination.membership.Payload;
import org.dotterelcourse.coordination.transport.ChannelCount;
import org.dotterelcourse.coordination.transport.PeerTransport;

/** A node with the same coordination components as a daemon, instrumented for measurements and fault injection. */
final class MeasuredNode {

    private static final int DATA_CENTRES = 7;
    private static final int REGIONS = 3;
    /** Time for which the gossip about a suspicion may still spread after the pause has ended. */
    private static final long SUSPICION_SPREAD_NANOS = 2_000_000_000L;

    private static final long TICK_NANOS = MembershipSettings.STANDARD.tickNanos();

    private final String name;
    private final PeerTransport transport;
    private final Membership membership;
    private final MembershipDriver membershipDriver;
    private final ConfigurationDriver configurationDriver;
    private final StubConfigurationService service;
    private final Map<String, MemberState> states = new ConcurrentHashMap<>();
    private final Map<String, Long> suspectedNanos = new ConcurrentHashMap<>();
    private final Map<String, Long> deadNanos = new ConcurrentHashMap<>();
    private final AtomicLong suspicionsOfPaused = new AtomicLong();
    private final AtomicLong suspicionsOfRunning = new AtomicLong();
    private final Map<String, Long> pausedUntilNanos;
    private volatile long configurationNumber;
    private volatile long threadId;
    private Payload payload;

    /** Creates a node. The map of monotonic times until which nodes are paused is shared by all nodes. */
    MeasuredNode(int index, StubConfigurationService service, Map<String, Long> pausedUntilNanos) {
        this.pausedUntilNanos = pausedUntilNanos;
        this.name = "entry-" + index;
        this.service = service;
        int dataCentre = index % DATA_CENTRES;
        MemberId id = new MemberId(name, 1);
        InetSocketAddress bindAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        transport = PeerTransport.builder().bind(bindAddress).self(id).build().start();
        payload = new Payload(
                "127.0.0.1:" + transport.port(), "centre-" + dataCentre, "region-" + dataCentre % REGIONS, 0, 0, 0);
        long now = System.nanoTime();
        membership = Membership.builder()
                .self(id)
                .address(transport.address())
                .payload(payload)
                .random(new Random(index))
                .build(now);
        ConfigurationRelay relay =
                new ConfigurationRelay(StubConfigurationService::fold, RelaySettings.STANDARD, new Random(index), now);
        membershipDriver = new MembershipDriver(transport, membership, this::onMembershipEffect);
        configurationDriver = new ConfigurationDriver(transport, relay, this::onRelayEffect);
    }

    void start(List<ListedVm> seeds) {
        transport.execute(() -> threadId = Thread.currentThread().getId());
        membershipDriver.submit(new MembershipEvent.VmListReceived(seeds));
        membershipDriver.start(TICK_NANOS);
        configurationDriver.start(TICK_NANOS);
    }

    void stop() {
        transport.close();
    }

    String name() {
        return name;
    }

    ListedVm listedVm() {
        return new ListedVm(name, transport.address());
    }

    void deliverToRelay(RelayEvent event, long delayNanos) {
        schedule(() -> configurationDriver.handle(event), delayNanos);
    }

    void schedule(Runnable task, long delayNanos) {
        transport.scheduleOnce(delayNanos, task);
    }

    /** Blocks the node's thread, as a stall of its host would. */
    void pause(long nanos) {
        long until = System.nanoTime() + nanos;
        pausedUntilNanos.put(name, until);
        transport.execute(() -> {
            while (System.nanoTime() < until) {
                LockSupport.parkNanos(until - System.nanoTime());
            }
        });
    }

    /** Drops a fraction of the datagrams that this node sends. */
    void setDatagramLoss(double fraction) {
        transport.simulateDatagramLoss(fraction);
    }

    long aliveCount() {
        return states.values().stream()
                .filter(state -> state == MemberState.ALIVE)
                .count();
    }

    long configurationNumber() {
        return configurationNumber;
    }

    long suspicionsOfPaused() {
        return suspicionsOfPaused.get();
    }

    long suspicionsOfRunning() {
        return suspicionsOfRunning.get();
    }

    /** CPU time of the node's thread in nanoseconds. */
    long threadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getThreadCpuTime(threadId);
    }

    int deadCount() {
        return deadNanos.size();
    }

    Long suspectedNanos(String other) {
        return suspectedNanos.get(other);
    }

    Long deadNanos(String other) {
        return deadNanos.get(other);
    }

    Map<String, ChannelCount> counts() {
        return transport.counts();
    }

    private void onMembershipEffect(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.MemberChanged changed) {
            recordState(changed.member());
        }
        configurationDriver.membershipChanged(effect, membership.self(), membership.members());
    }

    private void recordState(Member member) {
        MemberState previous = states.put(member.name(), member.state());
        if (previous == member.state()) {
            return;
        }
        if (member.state() == MemberState.SUSPECT) {
            boolean paused =
                    System.nanoTime() < pausedUntilNanos.getOrDefault(member.name(), 0L) + SUSPICION_SPREAD_NANOS;
            (paused ? suspicionsOfPaused : suspicionsOfRunning).incrementAndGet();
            suspectedNanos.put(member.name(), System.nanoTime());
        } else if (member.state() == MemberState.DEAD) {
            deadNanos.put(member.name(), System.nanoTime());
        }
    }

    private void onRelayEffect(RelayEffect effect) {
        if (effect instanceof RelayEffect.InForce changed) {
            configurationNumber = changed.content().number();
        } else if (effect instanceof RelayEffect.PositionAdvanced advanced) {
            payload = payload.withConfiguration(advanced.position(), advanced.digest());
            membershipDriver.handle(new MembershipEvent.PayloadChanged(payload));
        } else {
            service.handleRead(this, effect);
        }
    }
}
