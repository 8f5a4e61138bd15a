package org.dotterelcourse.coordination.limit;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.limit.generated.LimitProtos;
import org.dotterelcourse.coordination.limit.generated.LimitProtos.LimitPacket;

/** Encodes and decodes {@link LimitMessage} as Protocol Buffers, see {@code limits.proto}. */
public final class LimitCodec {
    private LimitCodec() {}

    /** Result of decoding. */
    public sealed interface Decoded {
        /**
         * A well-formed message.
         *
         * @param message the message
         */
        record Message(LimitMessage message) implements Decoded {}

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
     * @return the encoded message, a body of the peer channel {@code limits}
     */
    public static byte[] encode(LimitMessage message) {
        LimitPacket.Builder packet = LimitPacket.newBuilder();
        if (message instanceof LimitMessage.Wants wants) {
            packet.setLife(wants.life());
            wants.wants().forEach(want -> packet.addWants(write(want)));
        } else if (message instanceof LimitMessage.Slices slices) {
            packet.setLife(slices.life());
            slices.slices().forEach(slice -> packet.addSlices(write(slice)));
        }
        return packet.build().toByteArray();
    }

    /**
     * Decodes a body of the peer channel {@code limits}.
     *
     * @param body the encoded message
     * @return the message, or the reason why the body is malformed
     */
    public static Decoded decode(byte[] body) {
        LimitPacket packet;
        try {
            packet = LimitPacket.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            return new Decoded.Malformed(e.getMessage());
        }
        boolean wants = packet.getWantsCount() > 0;
        if (wants == packet.getSlicesCount() > 0) {
            return new Decoded.Malformed("packet must contain either wants or slices");
        }
        return new Decoded.Message(wants ? readWants(packet) : readSlices(packet));
    }

    private static LimitProtos.Want write(LimitMessage.Want want) {
        return LimitProtos.Want.newBuilder()
                .setCustomer(want.customer())
                .setSequence(want.sequence())
                .setRequests(want.amount().requests())
                .setTokens(want.amount().tokens())
                .setReturnedRequests(want.returned().requests())
                .setReturnedTokens(want.returned().tokens())
                .build();
    }

    private static LimitProtos.Slice write(LimitMessage.Slice slice) {
        return LimitProtos.Slice.newBuilder()
                .setCustomer(slice.customer())
                .setSequence(slice.sequence())
                .setRequests(slice.amount().requests())
                .setTokens(slice.amount().tokens())
                .setShareMillionths(slice.shareMillionths())
                .setRetryAfterNanos(slice.retryAfterNanos())
                .build();
    }

    private static LimitMessage.Wants readWants(LimitPacket packet) {
        List<LimitMessage.Want> wants = new ArrayList<>(packet.getWantsCount());
        for (LimitProtos.Want want : packet.getWantsList()) {
            wants.add(new LimitMessage.Want(
                    want.getCustomer(),
                    want.getSequence(),
                    amount(want.getRequests(), want.getTokens()),
                    amount(want.getReturnedRequests(), want.getReturnedTokens())));
        }
        return new LimitMessage.Wants(packet.getLife(), wants);
    }

    private static LimitMessage.Slices readSlices(LimitPacket packet) {
        List<LimitMessage.Slice> slices = new ArrayList<>(packet.getSlicesCount());
        for (LimitProtos.Slice slice : packet.getSlicesList()) {
            slices.add(new LimitMessage.Slice(
                    slice.getCustomer(),
                    slice.getSequence(),
                    amount(slice.getRequests(), slice.getTokens()),
                    slice.getShareMillionths(),
                    slice.getRetryAfterNanos()));
        }
        return new LimitMessage.Slices(packet.getLife(), slices);
    }

    /** Replaces negative values by 0. Deducting a negative amount from a faulty peer would increase the budget. */
    private static Amount amount(long requests, long tokens) {
        return new Amount(requests, tokens).atLeastZero();
    }
}
