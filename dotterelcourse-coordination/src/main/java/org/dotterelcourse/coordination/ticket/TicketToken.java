package org.dotterelcourse.coordination.ticket;

import java.util.Base64;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.ticket.generated.TicketProtos;

/**
 * A ticket as the caller holds it, encoded as base64url.
 *
 * @param minter member name and incarnation number of the process that minted the ticket
 * @param number number of the ticket at its minter
 * @param mac the minter's message authentication code
 */
record TicketToken(MemberId minter, long number, byte[] mac) {
    static final int MAX_TEXT_LENGTH = 512;

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
        if (text.length() > MAX_TEXT_LENGTH) {
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
