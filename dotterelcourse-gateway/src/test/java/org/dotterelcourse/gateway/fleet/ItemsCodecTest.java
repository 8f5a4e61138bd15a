package org.dotterelcourse.gateway.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.published.PublishedItem;
import org.dotterelcourse.gateway.published.StorePosition;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ItemsCodecTest {
    private static final List<PublishedItem> ITEMS = List.of(
            new PublishedItem(
                    "configuration", "{\"name\":\"route\"}".repeat(20_000).getBytes(StandardCharsets.UTF_8), 7, false),
            new PublishedItem("servers/a", new byte[0], 8, true));
    private static final FleetProtos.Items PLAIN = ItemsCodec.encode(ITEMS, new StorePosition(1, 8))
            .setAfter(6)
            .setAfterEra(1)
            .build();

    @Test
    void compressedItemsAreEqualToTheOriginalOnes() throws Exception {
        FleetProtos.Items compressed =
                FleetProtos.Items.parseFrom(ItemsCodec.compress(PLAIN).toByteArray());
        assertThat(ItemsCodec.items(compressed)).isEqualTo(ITEMS);
        assertThat(compressed.getSerializedSize()).isLessThan(PLAIN.getSerializedSize() / 10);
        assertThat(compressed.getRevision()).isEqualTo(8);
        assertThat(compressed.getAfter()).isEqualTo(6);
    }

    // Guards against processes of different versions that can't exchange items.
    @Test
    void aMessageWithoutCompressedItemsIsReadAsBefore() throws Exception {
        assertThat(ItemsCodec.items(PLAIN)).isEqualTo(ITEMS);
    }

    // Guards against a message that makes its receiver run out of memory.
    @Test
    void aWrongInflatedSizeIsRejected() {
        FleetProtos.Items compressed = ItemsCodec.compress(PLAIN);
        for (int size : new int[] {
            0, 1, compressed.getInflatedBytes() - 1, compressed.getInflatedBytes() + 1, Integer.MAX_VALUE, -1
        }) {
            assertRejected(compressed.toBuilder().setInflatedBytes(size).build());
        }
        assertRejected(compressed.toBuilder()
                .setCompressedItems(compressed.getCompressedItems().substring(0, 50))
                .build());
    }

    @Property(tries = 500, seed = "5")
    void damagedMessagesAreRejectedOrReadWithoutOtherErrors(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] bytes = ItemsCodec.compress(PLAIN).getCompressedItems().toByteArray();
        for (int i = 0; i <= random.nextInt(4); i++) {
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
        }
        FleetProtos.Items damaged = FleetProtos.Items.newBuilder()
                .setCompressedItems(ByteString.copyFrom(bytes))
                .setInflatedBytes(ItemsCodec.compress(PLAIN).getInflatedBytes())
                .build();
        try {
            assertThat(ItemsCodec.items(damaged)).isEqualTo(ITEMS);
        } catch (InvalidProtocolBufferException e) {
            assertThat(e).hasMessageContaining("compressed items");
        }
    }

    private static void assertRejected(FleetProtos.Items message) {
        assertThatThrownBy(() -> ItemsCodec.items(message)).isInstanceOf(InvalidProtocolBufferException.class);
    }
}
