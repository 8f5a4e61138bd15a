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

/** One node as a daemon embeds it, with what is needed to observe and to disturb it. */
final class MeasuredNode {

    private static final int DATA_CENTRES = 7;
    private static final int REGIONS = 3;
    /** News of a suspicion may still spread when the pause has ended. */
    private static final long NEWS_NANOS = 2_000_000_000L;

    private static final long TICK_NANOS = MembershipSettings.STANDARD.tickNanos();

    private final String name;
    private final PeerTransport transport;
    private final Membership membership;
    private final MembershipDriver membershipDriver;
    private final ConfigurationDriver configurationDriver;
    private final MeasuredService service;
    private final Map<String, MemberState> states = new ConcurrentHashMap<>();
    private final Map<String, Long> suspectedNanos = new ConcurrentHashMap<>();
    private final Map<String, Long> deadNanos = new ConcurrentHashMap<>();
    private final AtomicLong suspicionsOfPaused = new AtomicLong();
    private final AtomicLong suspicionsOfRunning = new AtomicLong();
    private final Map<String, Long> pausedUntil;
    private volatile long number;
    private volatile long threadId;
    private Payload payload;

    /** The nodes share the times until which they are paused. */
    MeasuredNode(int index, MeasuredService service, Map<String, Long> pausedUntil) {
        this.pausedUntil = pausedUntil;
        this.name = "entry-" + index;
        this.service = service;
        int dataCentre = index % DATA_CENTRES;
        MemberId id = new MemberId(name, 1);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        transport = PeerTransport.builder().bind(any).self(id).build().start();
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
                new ConfigurationRelay(MeasuredService::fold, RelaySettings.STANDARD, new Random(index), now);
        membershipDriver = new MembershipDriver(transport, membership, this::membershipTold);
        configurationDriver = new ConfigurationDriver(transport, relay, this::relayTold);
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

    ListedVm listed() {
        return new ListedVm(name, transport.address());
    }

    void answer(RelayEvent event, long delayNanos) {
        later(() -> configurationDriver.handle(event), delayNanos);
    }

    void later(Runnable task, long delayNanos) {
        transport.scheduleOnce(delayNanos, task);
    }

    /** Blocks the node's thread, as when its host stalls. */
    void pause(long nanos) {
        long until = System.nanoTime() + nanos;
        pausedUntil.put(name, until);
        transport.execute(() -> {
            while (System.nanoTime() < until) {
                LockSupport.parkNanos(until - System.nanoTime());
            }
        });
    }

    /** Drops a share of the datagrams that this node sends. */
    void lose(double share) {
        transport.simulateDatagramLoss(share);
    }

    long alive() {
        return states.values().stream()
                .filter(state -> state == MemberState.ALIVE)
                .count();
    }

    long number() {
        return number;
    }

    long suspicionsOfPaused() {
        return suspicionsOfPaused.get();
    }

    long suspicionsOfRunning() {
        return suspicionsOfRunning.get();
    }

    /** Processor time of the node's own thread, in nanoseconds. */
    long processorNanos() {
        return ManagementFactory.getThreadMXBean().getThreadCpuTime(threadId);
    }

    int deaths() {
        return deadNanos.size();
    }

    Long suspected(String other) {
        return suspectedNanos.get(other);
    }

    Long dead(String other) {
        return deadNanos.get(other);
    }

    Map<String, ChannelCount> counts() {
        return transport.counts();
    }

    private void membershipTold(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.MemberChanged changed) {
            note(changed.member());
        }
        configurationDriver.membershipChanged(effect, membership.self(), membership.members());
    }

    private void note(Member member) {
        MemberState before = states.put(member.name(), member.state());
        if (before == member.state()) {
            return;
        }
        if (member.state() == MemberState.SUSPECT) {
            boolean paused = System.nanoTime() < pausedUntil.getOrDefault(member.name(), 0L) + NEWS_NANOS;
            (paused ? suspicionsOfPaused : suspicionsOfRunning).incrementAndGet();
            suspectedNanos.put(member.name(), System.nanoTime());
        } else if (member.state() == MemberState.DEAD) {
            deadNanos.put(member.name(), System.nanoTime());
        }
    }

    private void relayTold(RelayEffect effect) {
        if (effect instanceof RelayEffect.InForce changed) {
            number = changed.content().number();
        } else if (effect instanceof RelayEffect.PositionAdvanced advanced) {
            payload = payload.withConfiguration(advanced.position(), advanced.digest());
            membershipDriver.handle(new MembershipEvent.PayloadChanged(payload));
        } else {
            service.read(this, effect);
        }
    }
}
