package org.dotterelcourse.coordination.grant;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.grant.GrantMessage.ToClient;
import org.dotterelcourse.coordination.grant.GrantMessage.ToOwner;
import org.dotterelcourse.coordination.grant.generated.GrantProtos;
import org.dotterelcourse.coordination.grant.generated.GrantProtos.GrantPacket;

/** Encodes and decodes {@link GrantMessage} as Protocol Buffers, see {@code grants.proto}. */
public final class GrantCodec {
    private GrantCodec() {}

    /** Result of decoding. */
    public sealed interface Decoded {
        /**
         * A well-formed message.
         *
         * @param message the message
         */
        record Message(GrantMessage message) implements Decoded {}

        /**
         * Bytes that are not a valid message of this protocol.
         *
         * @param reason description of the error
         */
        record Malformed(String reason) implements Decoded {}
    }

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the encoded message, a body of the peer channel {@code grants}
     */
    public static byte[] encode(GrantMessage message) {
        GrantPacket.Builder packet = GrantPacket.newBuilder().setCell(message.cell());
        if (message instanceof ToOwner request) {
            packet.setLife(request.life()).setStampNanos(request.stampNanos());
            GrantRequests.write(request.body(), packet);
        } else if (message instanceof ToClient reply) {
            packet.setLife(reply.life()).setTerm(reply.term());
            packet.setStampNanos(reply.stampNanos()).setSinceStampNanos(reply.sinceStampNanos());
            writeReply(reply.body(), packet);
        }
        return packet.build().toByteArray();
    }

    /**
     * Decodes a message.
     *
     * @param body the encoded message, a body of the peer channel {@code grants}
     * @return the message, or the reason why it is malformed
     */
    public static Decoded decode(byte[] body) {
        GrantPacket packet;
        try {
            packet = GrantPacket.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            return new Decoded.Malformed(e.getMessage());
        }
        if (packet.getBodyCase() == GrantPacket.BodyCase.BODY_NOT_SET) {
            return new Decoded.Malformed("grant packet has no body of a known type");
        }
        if (packet.getBodyCase().getNumber() < GrantPacket.QUEUED_FIELD_NUMBER) {
            return new Decoded.Message(new ToOwner(
                    packet.getCell(), packet.getLife(), packet.getStampNanos(), GrantRequests.read(packet)));
        }
        return new Decoded.Message(new ToClient(
                packet.getCell(),
                packet.getLife(),
                packet.getTerm(),
                packet.getStampNanos(),
                packet.getSinceStampNanos(),
                readReply(packet)));
    }

    static GrantProtos.GrantId write(GrantId grant) {
        return GrantProtos.GrantId.newBuilder()
                .setTerm(grant.term())
                .setNumber(grant.number())
                .build();
    }

    static GrantId read(GrantProtos.GrantId grant) {
        return new GrantId(grant.getTerm(), grant.getNumber());
    }

    static ByteString bytes(byte[] payload) {
        return ByteString.copyFrom(payload);
    }

    private static void writeReply(GrantMessage.Reply reply, GrantPacket.Builder packet) {
        if (reply instanceof GrantMessage.Queued queued) {
            packet.getQueuedBuilder().setAsk(queued.ask());
        } else if (reply instanceof GrantMessage.Granted granted) {
            packet.getGrantedBuilder()
                    .setAsk(granted.ask())
                    .setGrant(write(granted.grant()))
                    .setWorker(granted.worker())
                    .setLeaseNanos(granted.leaseNanos());
        } else if (reply instanceof GrantMessage.Refused refused) {
            packet.getRefusedBuilder()
                    .setAsk(refused.ask())
                    .setReason(refused.reason())
                    .setRetryAfterNanos(refused.retryAfterNanos());
        } else if (reply instanceof GrantMessage.Preempted preempted) {
            packet.getPreemptedBuilder().setAsk(preempted.ask()).setGrant(write(preempted.grant()));
        } else if (reply instanceof GrantMessage.Renewed renewed) {
            packet.getRenewedBuilder().setLeaseNanos(renewed.leaseNanos()).addAllUnknown(renewed.unknown());
        } else if (reply instanceof GrantMessage.Registered registered) {
            packet.getRegisteredBuilder()
                    .setRegistration(registered.registration())
                    .setPart(registered.part());
        } else if (reply instanceof GrantMessage.NotOwner notOwner) {
            packet.getNotOwnerBuilder().setOwner(notOwner.owner());
        }
    }

    private static GrantMessage.Reply readReply(GrantPacket packet) {
        return switch (packet.getBodyCase()) {
            case QUEUED -> new GrantMessage.Queued(packet.getQueued().getAsk());
            case GRANTED -> readGranted(packet.getGranted());
            case REFUSED -> readRefused(packet.getRefused());
            case PREEMPTED ->
                new GrantMessage.Preempted(
                        packet.getPreempted().getAsk(),
                        read(packet.getPreempted().getGrant()));
            case RENEWED ->
                new GrantMessage.Renewed(
                        packet.getRenewed().getLeaseNanos(),
                        List.copyOf(packet.getRenewed().getUnknownList()));
            case REGISTERED ->
                new GrantMessage.Registered(
                        packet.getRegistered().getRegistration(),
                        packet.getRegistered().getPart());
            default -> new GrantMessage.NotOwner(packet.getNotOwner().getOwner());
        };
    }

    private static GrantMessage.Granted readGranted(GrantProtos.Granted granted) {
        return new GrantMessage.Granted(
                granted.getAsk(), read(granted.getGrant()), granted.getWorker(), granted.getLeaseNanos());
    }

    private static GrantMessage.Refused readRefused(GrantProtos.Refused refused) {
        return new GrantMessage.Refused(refused.getAsk(), refused.getReason(), refused.getRetryAfterNanos());
    }
}
