package org.dotterelcourse.coordination.ticket;

import java.util.Base64;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.ticket.generated.TicketProtos;

/** The text that a caller holds: who minted the ticket, its number, and the minter's signature. */
record TicketToken(MemberId minter, long number, byte[] mac) {
    static final int MAX_LENGTH = 512;

    String text() {
        byte[] bytes = TicketProtos.Token.newBuilder()
                .setMinter(minter.name())
                .setLife(minter.incarnation())
                .setNumber(number)
                .setMac(ByteString.copyFrom(mac))
                .build()
                .toByteArray();
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    static Optional<TicketToken> parse(String text) {
        if (text.length() > MAX_LENGTH) {
            return Optional.empty();
        }
        try {
            TicketProtos.Token token =
                    TicketProtos.Token.parseFrom(Base64.getUrlDecoder().decode(text));
            MemberId minter = new MemberId(token.getMinter(), token.getLife());
            return Optional.of(
                    new TicketToken(minter, token.getNumber(), token.getMac().toByteArray()));
        } catch (IllegalArgumentException | InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }
}
