package org.dotterelcourse.coordination.ticket;

import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.ticket.generated.TicketProtos;
import org.dotterelcourse.coordination.ticket.generated.TicketProtos.Answer.Verdict;
import org.dotterelcourse.coordination.ticket.generated.TicketProtos.TicketPacket;

/** Encodes and decodes {@link TicketMessage} as Protocol Buffers, see {@code tickets.proto}. */
public final class TicketCodec {
    private TicketCodec() {}

    /** Result of decoding. */
    public sealed interface Decoded {
        /**
         * A well-formed message.
         *
         * @param message the message
         */
        record Message(TicketMessage message) implements Decoded {}

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
     * @return the encoded message, a body of the peer channel {@code tickets}
     */
    public static byte[] encode(TicketMessage message) {
        TicketPacket.Builder packet =
                TicketPacket.newBuilder().setLife(message.life()).setRequest(message.request());
        if (message.body() instanceof TicketMessage.Spend spend) {
            packet.getSpendBuilder().setToken(spend.token()).setCustomer(spend.customer());
        } else if (message.body() instanceof TicketMessage.Burn burn) {
            packet.getBurnBuilder().setToken(burn.token()).setCustomer(burn.customer());
        } else if (message.body() instanceof TicketMessage.Report report) {
            packet.getReportBuilder().setToken(report.token()).setOutcome(write(report.outcome()));
        } else if (message.body() instanceof TicketMessage.Answer answer) {
            packet.setAnswer(write(answer.verdict()));
        }
        return packet.build().toByteArray();
    }

    /**
     * Decodes a body of the peer channel {@code tickets}.
     *
     * @param body the encoded message
     * @return the message, or the reason why the body is malformed
     */
    public static Decoded decode(byte[] body) {
        TicketPacket packet;
        try {
            packet = TicketPacket.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            return new Decoded.Malformed(e.getMessage());
        }
        TicketMessage.Body message =
                switch (packet.getBodyCase()) {
                    case SPEND ->
                        new TicketMessage.Spend(
                                packet.getSpend().getToken(), packet.getSpend().getCustomer());
                    case BURN ->
                        new TicketMessage.Burn(
                                packet.getBurn().getToken(), packet.getBurn().getCustomer());
                    case REPORT ->
                        new TicketMessage.Report(
                                packet.getReport().getToken(),
                                read(packet.getReport().getOutcome()));
                    case ANSWER -> new TicketMessage.Answer(read(packet.getAnswer()));
                    case BODY_NOT_SET -> null;
                };
        if (message == null) {
            return new Decoded.Malformed("packet has no known body");
        }
        return new Decoded.Message(new TicketMessage(packet.getLife(), packet.getRequest(), message));
    }

    private static TicketProtos.Outcome write(TicketOutcome outcome) {
        return TicketProtos.Outcome.newBuilder()
                .setResult(TicketProtos.Outcome.Result.valueOf(outcome.result().name()))
                .setDetail(ByteString.copyFrom(outcome.detail()))
                .build();
    }

    /** Decodes an unrecognised result, as from a newer version, as unknown. It must not be taken for "not run". */
    private static TicketOutcome read(TicketProtos.Outcome outcome) {
        TicketOutcome.Result result =
                switch (outcome.getResult()) {
                    case ANSWERED -> TicketOutcome.Result.ANSWERED;
                    case NOT_RUN -> TicketOutcome.Result.NOT_RUN;
                    default -> TicketOutcome.Result.UNKNOWN;
                };
        return new TicketOutcome(result, outcome.getDetail().toByteArray());
    }

    private static TicketProtos.Answer write(TicketVerdict verdict) {
        TicketProtos.Answer.Builder answer = TicketProtos.Answer.newBuilder();
        if (verdict instanceof TicketVerdict.SpendNow) {
            answer.setVerdict(Verdict.SPEND_NOW);
        } else if (verdict instanceof TicketVerdict.AlreadySpent spent) {
            answer.setVerdict(Verdict.ALREADY_SPENT);
            spent.outcome().ifPresent(outcome -> answer.setOutcome(write(outcome)));
        } else if (verdict instanceof TicketVerdict.Burned) {
            answer.setVerdict(Verdict.BURNED);
        } else if (verdict instanceof TicketVerdict.Expired) {
            answer.setVerdict(Verdict.EXPIRED);
        } else if (verdict instanceof TicketVerdict.Forged) {
            answer.setVerdict(Verdict.FORGED);
        } else if (verdict instanceof TicketVerdict.Unknown unknown) {
            boolean earlierLife = unknown.reason() == TicketVerdict.Reason.EARLIER_LIFE;
            answer.setVerdict(earlierLife ? Verdict.EARLIER_LIFE : Verdict.UNKNOWN);
        }
        return answer.build();
    }

    private static TicketVerdict read(TicketProtos.Answer answer) {
        return switch (answer.getVerdict()) {
            case SPEND_NOW -> new TicketVerdict.SpendNow();
            case ALREADY_SPENT ->
                new TicketVerdict.AlreadySpent(
                        answer.hasOutcome() ? Optional.of(read(answer.getOutcome())) : Optional.empty());
            case BURNED -> new TicketVerdict.Burned();
            case EXPIRED -> new TicketVerdict.Expired();
            case FORGED -> new TicketVerdict.Forged();
            case EARLIER_LIFE -> new TicketVerdict.Unknown(TicketVerdict.Reason.EARLIER_LIFE);
            default -> new TicketVerdict.Unknown(TicketVerdict.Reason.UNREACHABLE);
        };
    }
}
