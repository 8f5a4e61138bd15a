package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;

import org.dotterelcourse.coordination.MemberId;

/** This process as a member: its own state, and its reaction to updates that others send about it. */
final class LocalMember {

    /** The reaction to an update about this process. */
    enum Reaction {
        IGNORE,
        REFUTE,
        SUPERSEDED
    }

    private final InetSocketAddress address;
    private final long startNanos;
    private final long startupGraceNanos;
    private MemberId id;
    private MemberState state = MemberState.ALIVE;
    private Payload payload;
    private long payloadVersion;

    LocalMember(MemberId id, InetSocketAddress address, Payload payload, long startNanos, long startupGraceNanos) {
        this.id = id;
        this.address = address;
        this.payload = payload;
        this.startNanos = startNanos;
        this.startupGraceNanos = startupGraceNanos;
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

    void setPayload(Payload newPayload) {
        payload = newPayload;
        payloadVersion++;
    }

    void setState(MemberState newState) {
        state = newState;
    }

    /**
     * Decides how to react to an update with this process's name. An incarnation above its own belongs to another
     * process. If the update has the same address, or arrives shortly after the start, that process was an earlier one
     * whose clock was ahead, and this process raises its incarnation above it. Otherwise it has replaced this VM while
     * this process was paused or partitioned, and two processes would compete for the name if this one continued.
     */
    Reaction evaluate(Update update, long nowNanos) {
        long incarnation = update.id().incarnation();
        if (incarnation > id.incarnation()) {
            boolean predecessor = update.address().equals(address) || nowNanos - startNanos < startupGraceNanos;
            return predecessor ? Reaction.REFUTE : Reaction.SUPERSEDED;
        }
        return update.overrides(id.incarnation(), state) ? Reaction.REFUTE : Reaction.IGNORE;
    }

    void raiseIncarnation(long aboveIncarnation) {
        id = new MemberId(id.name(), Math.max(id.incarnation(), aboveIncarnation) + 1);
    }
}
