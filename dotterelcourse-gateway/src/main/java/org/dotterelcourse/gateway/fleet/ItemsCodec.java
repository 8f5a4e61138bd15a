package org.dotterelcourse.gateway.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.published.PublishedItem;
import org.dotterelcourse.gateway.published.StorePosition;

/** Encodes published items for peers, large messages with deflate (RFC 1951 in the format of RFC 1950), and decodes them. */
final class ItemsCodec {
    /**
     * Largest inflated size that is accepted. A configuration of 18,000 customers and 4,000 routes takes 2.1 MB; the
     * heap has 194 MB.
     */
    static final int MAX_INFLATED_BYTES = 16 << 20;

    /** Deflate can't represent more bytes by one. A larger stated size is wrong and must not reserve memory. */
    private static final int MAX_DEFLATE_RATIO = 1_032;

    private static final int BUFFER_BYTES = 1 << 14;

    private ItemsCodec() {}

    /**
     * Encodes items without compression.
     *
     * @param items the items
     * @param position position up to which they are complete
     * @return the message, to which the position that they follow can be added
     */
    static FleetProtos.Items.Builder encode(List<PublishedItem> items, StorePosition position) {
        FleetProtos.Items.Builder message =
                FleetProtos.Items.newBuilder().setRevision(position.revision()).setEra(position.era());
        for (PublishedItem item : items) {
            message.addItems(FleetProtos.Item.newBuilder()
                    .setKey(item.key())
                    .setValue(ByteString.copyFrom(item.value()))
                    .setRevision(item.revision())
                    .setDeleted(item.deleted()));
        }
        return message;
    }

    /**
     * Compresses the items of a message. A configuration of 420 KB with 1,760 routes is deflated to 34 KB in 3.7 ms at this
     * level, and to 41 KB in 1.7 ms at the fastest one, which takes 8 ms more for each of its copies on a link of 7 Mbit/s.
     *
     * @param message a message with uncompressed items
     * @return the same message with compressed items
     */
    static FleetProtos.Items compress(FleetProtos.Items message) {
        byte[] inflated = FleetProtos.Items.newBuilder()
                .addAllItems(message.getItemsList())
                .build()
                .toByteArray();
        Deflater deflater = new Deflater(Deflater.DEFAULT_COMPRESSION);
        try {
            deflater.setInput(inflated);
            deflater.finish();
            ByteString.Output output = ByteString.newOutput();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                output.write(buffer, 0, deflater.deflate(buffer));
            }
            return message.toBuilder()
                    .clearItems()
                    .setCompressedItems(output.toByteString())
                    .setInflatedBytes(inflated.length)
                    .build();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decodes the items of a message, compressed or not.
     *
     * @param message the message of a peer
     * @return its items
     * @throws InvalidProtocolBufferException if the items are corrupt, do not have the stated size, or are larger than
     *     {@link #MAX_INFLATED_BYTES}
     */
    static List<PublishedItem> items(FleetProtos.Items message) throws InvalidProtocolBufferException {
        FleetProtos.Items plain = message.getCompressedItems().isEmpty()
                ? message
                : FleetProtos.Items.parseFrom(inflate(message.getCompressedItems(), message.getInflatedBytes()));
        return plain.getItemsList().stream()
                .map(item -> new PublishedItem(
                        item.getKey(), item.getValue().toByteArray(), item.getRevision(), item.getDeleted()))
                .toList();
    }

    private static byte[] inflate(ByteString compressed, int size) throws InvalidProtocolBufferException {
        if (size < 0 || size > MAX_INFLATED_BYTES || size > (long) MAX_DEFLATE_RATIO * compressed.size()) {
            throw new InvalidProtocolBufferException("the inflated size is stated as " + Integer.toUnsignedString(size)
                    + " bytes of " + compressed.size() + " compressed ones, at most " + MAX_INFLATED_BYTES);
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed.toByteArray());
            // The additional byte shows whether there is more than the stated size.
            byte[] inflated = new byte[size + 1];
            int length = 0;
            int count;
            do {
                count = inflater.inflate(inflated, length, inflated.length - length);
                length += count;
            } while (count > 0 && length < inflated.length);
            if (length != size || !inflater.finished()) {
                throw new InvalidProtocolBufferException(
                        "the compressed items are not the stated " + size + " bytes when inflated");
            }
            return Arrays.copyOf(inflated, size);
        } catch (DataFormatException e) {
            throw new InvalidProtocolBufferException("the compressed items are corrupt: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
