package org.dotterelcourse.gateway.published;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PublishedItemsTest {
    private final PublishedItems items = new PublishedItems();

    // A process whose calls the store rejects learns of a revocation from a peer, and later reads an outdated state
    // itself. The revoked key must not become valid again.
    @Test
    void anOutdatedReadDoesNotRevertChanges() {
        merge(items, List.of(item("op", 5)), 5);
        assertThat(merge(items, List.of(item("op", 4)), 4)).isEmpty();
        assertThat(mergeSnapshot(List.of(item("op", 3)), 3)).isEmpty();
        assertThat(items.position().revision()).isEqualTo(5);
        assertThat(items.live()).containsExactly(item("op", 5));
    }

    @Test
    void itemsMissingFromASnapshotAreDeleted() {
        merge(items, List.of(item("a", 1), item("b", 2)), 2);
        List<PublishedItem> changes = mergeSnapshot(List.of(item("b", 2)), 9);
        assertThat(changes).hasSize(1);
        assertThat(changes.get(0).key()).isEqualTo("a");
        assertThat(changes.get(0).deleted()).isTrue();
        assertThat(items.live()).containsExactly(item("b", 2));
    }

    @Test
    void aDeletedItemExistsAgainOnceItIsPublishedAgain() {
        merge(items, List.of(item("a", 1)), 1);
        merge(items, List.of(new PublishedItem("a", new byte[0], 2, true)), 2);
        assertThat(items.live()).isEmpty();
        assertThat(merge(items, List.of(item("a", 3)), 3)).hasSize(1);
        assertThat(items.live()).containsExactly(item("a", 3));
    }

    // A peer relays a revocation, but the previous message was lost. The revocation must take effect at once, and the
    // lost changes must still be requested.
    @Test
    void aChangeAfterAGapIsAppliedWithoutAdvancingThePosition() {
        mergeSnapshot(List.of(item("op", 5), item("w", 4)), 5);
        assertThat(merge(items, List.of(item("op", 9)), 8, 9)).containsExactly(item("op", 9));
        assertThat(items.position().revision()).isEqualTo(5);
        assertThat(merge(items, List.of(item("w", 7), item("op", 9)), 5, 9)).containsExactly(item("w", 7));
        assertThat(items.position().revision()).isEqualTo(9);
    }

    // Guards against a peer that keeps a deleted worker: it may be deleted before this process has ever known it.
    @Test
    void changesAreNotGivenIfDeletionsAmongThemMayBeUnknown() {
        mergeSnapshot(List.of(item("a", 3), item("b", 4)), 5);
        merge(items, List.of(new PublishedItem("a", new byte[0], 6, true), item("c", 7)), 5, 7);
        assertThat(items.changesAfter(new StorePosition(0, 4))).isEmpty();
        assertThat(items.changesAfter(new StorePosition(1, 5))).isEmpty();
        assertThat(items.changesAfter(new StorePosition(0, 6)).orElseThrow()).containsExactly(item("c", 7));
        assertThat(items.changesAfter(new StorePosition(0, 5)).orElseThrow())
                .containsExactlyInAnyOrder(new PublishedItem("a", new byte[0], 6, true), item("c", 7));
    }

    @Property(tries = 300, seed = "7")
    void noItemReturnsToAnOlderRevision(@ForAll @Size(max = 60) List<@IntRange(min = 1, max = 400) Integer> changes) {
        PublishedItems merged = new PublishedItems();
        Map<String, Long> highest = new HashMap<>();
        for (int change : changes) {
            String key = "k" + change % 4;
            PublishedItem item = new PublishedItem(key, new byte[] {1}, change, change % 3 == 0);
            merge(merged, List.of(item), change);
            highest.merge(key, (long) change, Math::max);
            for (PublishedItem live : merged.live()) {
                assertThat(live.revision()).isEqualTo(highest.get(live.key()));
            }
        }
    }

    private static List<PublishedItem> merge(PublishedItems into, List<PublishedItem> changes, long upTo) {
        return merge(into, changes, into.position().revision(), upTo);
    }

    private static List<PublishedItem> merge(PublishedItems into, List<PublishedItem> changes, long after, long upTo) {
        return items(into.merge(changes, new StorePosition(0, after), new StorePosition(0, upTo)));
    }

    private List<PublishedItem> mergeSnapshot(List<PublishedItem> snapshot, long at) {
        return items(items.mergeSnapshot(snapshot, new StorePosition(0, at)));
    }

    private static List<PublishedItem> items(List<ItemChange> changes) {
        assertThat(changes).noneMatch(ItemChange::uncertain);
        return changes.stream().map(ItemChange::item).toList();
    }

    private static PublishedItem item(String key, long revision) {
        return new PublishedItem(key, new byte[] {(byte) revision}, revision, false);
    }
}
