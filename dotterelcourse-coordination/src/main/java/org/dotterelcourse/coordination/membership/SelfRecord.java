package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;

import org.dotterelcourse.coordination.MemberId;

/** What this process says about itself, and how it answers what others say about it. */
final class SelfRecord {

    /** What a statement about this process calls for. */
    enum Answer {
        NOTHING,
        REFUTE,
        SUPERSEDED
    }

    private final InetSocketAddress address;
    private final long startNanos;
    private final long joinNanos;
    private MemberId id;
    private MemberState state = MemberState.ALIVE;
    private Payload payload;
    private long payloadVersion;

    SelfRecord(MemberId id, InetSocketAddress address, Payload payload, long startNanos, long joinNanos) {
        this.id = id;
        this.address = address;
        this.payload = payload;
        this.startNanos = startNanos;
        this.joinNanos = joinNanos;
    }

    MemberId id() {
        return id;
    }

    Payload payload() {
        return payload;
    }

    MemberState state() {
        return state;
    }

    Update update() {
        return new Update(id, address, state, payload, payloadVersion);
    }

    void payload(Payload changed) {
        payload = changed;
        payloadVersion++;
    }

    void state(MemberState changed) {
        state = changed;
    }

    /**
     * Judges a statement about this process's name. A higher incarnation than its own belongs to another process. Just
     * after the start, or from the same address, that was an earlier one whose clock was ahead, and this process goes
     * above it. Later and from another address it is the one that replaced this VM while it was paused or cut off; to
     * go on would make two processes contend for one name.
     */
    Answer judge(Update claim, long nowNanos) {
        long incarnation = claim.id().incarnation();
        if (incarnation > id.incarnation()) {
            boolean predecessor = claim.address().equals(address) || nowNanos - startNanos < joinNanos;
            return predecessor ? Answer.REFUTE : Answer.SUPERSEDED;
        }
        return claim.overrides(id.incarnation(), state) ? Answer.REFUTE : Answer.NOTHING;
    }

    void rise(long aboveIncarnation) {
        id = new MemberId(id.name(), Math.max(id.incarnation(), aboveIncarnation) + 1);
    }
}
