package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.MemberId;

/** Describes a {@link Membership}. Identity, address, payload and random source must be given. */
public final class MembershipBuilder {

    private static final int MAX_SELF_BYTES = 350;

    MemberId self;
    InetSocketAddress address;
    Payload payload;
    RandomGenerator random;
    MembershipSettings settings = MembershipSettings.STANDARD;

    MembershipBuilder() {}

    /**
     * Sets the identity.
     *
     * @param identity the VM's name, and an incarnation above that of any earlier process of the same name, such as the
     *     wall-clock time of the start in milliseconds; one that is too low is raised when others tell of a higher one
     * @return this builder
     */
    public MembershipBuilder self(MemberId identity) {
        self = identity;
        return this;
    }

    /**
     * Sets the peer port.
     *
     * @param peerAddress the IP number and port at which others reach this process
     * @return this builder
     */
    public MembershipBuilder address(InetSocketAddress peerAddress) {
        address = peerAddress;
        return this;
    }

    /**
     * Sets what the member tells about itself at first.
     *
     * @param first the payload
     * @return this builder
     */
    public MembershipBuilder payload(Payload first) {
        payload = first;
        return this;
    }

    /**
     * Sets the source of randomness.
     *
     * @param generator used only while an event is handled
     * @return this builder
     */
    public MembershipBuilder random(RandomGenerator generator) {
        random = generator;
        return this;
    }

    /**
     * Sets times and bounds.
     *
     * @param times the settings
     * @return this builder
     */
    public MembershipBuilder settings(MembershipSettings times) {
        settings = times;
        return this;
    }

    /**
     * Builds the machine.
     *
     * @param nowNanos the present time on the monotonic clock
     * @return the machine
     * @throws NullPointerException when a needed part is missing
     * @throws IllegalArgumentException when name and payload are too long to go with each message in a datagram
     */
    public Membership build(long nowNanos) {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(payload, "payload");
        Objects.requireNonNull(random, "random");
        int size = UpdateSize.of(new Update(self, address, MemberState.ALIVE, payload, 0));
        if (size > MAX_SELF_BYTES) {
            throw new IllegalArgumentException("name and payload take " + size + " bytes, limit " + MAX_SELF_BYTES);
        }
        return new Membership(this, nowNanos);
    }
}
