package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.MemberId;

/** Builds a {@link Membership}. Identity, address, payload and source of randomness are required. */
public final class MembershipBuilder {

    private static final int MAX_SELF_BYTES = 350;

    MemberId self;
    InetSocketAddress address;
    Payload payload;
    RandomGenerator random;
    MembershipSettings settings = MembershipSettings.STANDARD;

    MembershipBuilder() {}

    /**
     * Sets the identity of this process.
     *
     * @param identity the VM's name, and an incarnation above that of any earlier process of the same name, for example
     *     the wall-clock time of the start in milliseconds; it is raised if other members report a higher one
     * @return this builder
     */
    public MembershipBuilder self(MemberId identity) {
        self = identity;
        return this;
    }

    /**
     * Sets the address for peers.
     *
     * @param peerAddress the IP address and port at which other members reach this process
     * @return this builder
     */
    public MembershipBuilder address(InetSocketAddress peerAddress) {
        address = peerAddress;
        return this;
    }

    /**
     * Sets the initial payload of this process.
     *
     * @param initialPayload the payload that is published until it is changed by an event
     * @return this builder
     */
    public MembershipBuilder payload(Payload initialPayload) {
        payload = initialPayload;
        return this;
    }

    /**
     * Sets the source of randomness.
     *
     * @param generator the generator; used only while the membership is built or handles an event
     * @return this builder
     */
    public MembershipBuilder random(RandomGenerator generator) {
        random = generator;
        return this;
    }

    /**
     * Sets timeouts and limits; the default is {@link MembershipSettings#STANDARD}.
     *
     * @param membershipSettings the settings
     * @return this builder
     */
    public MembershipBuilder settings(MembershipSettings membershipSettings) {
        settings = membershipSettings;
        return this;
    }

    /**
     * Builds the membership state machine.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the state machine
     * @throws NullPointerException if a required part is missing
     * @throws IllegalArgumentException if name and payload are too long to be sent with each message in a datagram
     */
    public Membership build(long nowNanos) {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(payload, "payload");
        Objects.requireNonNull(random, "random");
        int size = UpdateSize.of(new Update(self, address, MemberState.ALIVE, payload, 0));
        if (size > MAX_SELF_BYTES) {
            throw new IllegalArgumentException(
                    "name and payload take " + size + " bytes, which exceeds the limit of " + MAX_SELF_BYTES);
        }
        return new Membership(this, nowNanos);
    }
}
