package org.dotterelcourse.gateway.slots;

import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.policy.rate.SlotLedger;

/**
 * What the owner of a worker's slots is told about a request.
 *
 * @param maxWaitMillis time in milliseconds after which the request is not sent to the worker any more
 * @param priority priority of the request, 0 is the highest
 * @param maxRejections rejections per second that the worker bears, as far as the asking process knows
 */
record SlotTerms(int maxWaitMillis, int priority, double maxRejections) {
    byte[] encode() {
        return FleetProtos.SlotTerms.newBuilder()
                .setMaxWaitMillis(maxWaitMillis)
                .setPriority(priority)
                .setMaxRejections(maxRejections)
                .build()
                .toByteArray();
    }

    /**
     * Decodes terms.
     *
     * @throws IllegalArgumentException if the bytes are no terms
     */
    static SlotTerms decode(byte[] encoded) {
        try {
            FleetProtos.SlotTerms terms = FleetProtos.SlotTerms.parseFrom(encoded);
            return new SlotTerms(terms.getMaxWaitMillis(), terms.getPriority(), terms.getMaxRejections());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("terms of a slot can't be read", e);
        }
    }

    static byte[] encode(SlotLedger.End end) {
        FleetProtos.SlotObservation.End value =
                switch (end) {
                    case ANSWERED -> FleetProtos.SlotObservation.End.ANSWERED;
                    case REJECTED -> FleetProtos.SlotObservation.End.REJECTED;
                    case UNSEEN -> FleetProtos.SlotObservation.End.UNSEEN;
                    case GONE -> FleetProtos.SlotObservation.End.GONE;
                };
        return FleetProtos.SlotObservation.newBuilder().setEnd(value).build().toByteArray();
    }

    /** Decodes how a request has ended; what can't be read counts as not seen. */
    static SlotLedger.End decodeEnd(byte[] encoded) {
        try {
            return switch (FleetProtos.SlotObservation.parseFrom(encoded).getEnd()) {
                case GONE -> SlotLedger.End.GONE;
                case ANSWERED -> SlotLedger.End.ANSWERED;
                case REJECTED -> SlotLedger.End.REJECTED;
                default -> SlotLedger.End.UNSEEN;
            };
        } catch (InvalidProtocolBufferException e) {
            return SlotLedger.End.UNSEEN;
        }
    }
}
