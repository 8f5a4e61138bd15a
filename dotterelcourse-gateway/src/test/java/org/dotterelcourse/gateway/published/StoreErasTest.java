package org.dotterelcourse.gateway.published;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Items of a store that comes back from a copy now and then. */
class StoreErasTest {
    private final PublishedItems items = new PublishedItems();

    @Test
    void aRevisionThatIsGivenOutAgainIsAnotherChange() {
        items.replace(List.of(item("a", 5, 1), item("b", 9, 1)), at(1, 9));
        List<ItemChange> news = items.replace(List.of(item("a", 8, 2), item("b", 7, 1)), at(2, 8));
        assertThat(news).containsExactly(ItemChange.certain(item("a", 8, 2)));
        assertThat(items.position()).isEqualTo(at(2, 8));
        assertThat(items.merge(List.of(item("b", 9, 3)), at(2, 8), at(2, 9))).hasSize(1);
    }

    @Test
    void whatIsOfAnEraBeforeIsNoNews() {
        items.replace(List.of(item("a", 5, 1)), at(2, 5));
        assertThat(items.replace(List.of(item("a", 50, 2)), at(1, 50))).isEmpty();
        assertThat(items.merge(List.of(item("a", 51, 2)), at(1, 5), at(1, 51))).isEmpty();
    }

    @Test
    void whatACopyLacksIsInDoubt() {
        items.replace(List.of(item("a", 5, 1)), at(1, 5));
        assertThat(items.replace(List.of(), at(2, 3))).singleElement().satisfies(change -> {
            assertThat(change.item().deleted()).isTrue();
            assertThat(change.doubtful()).isTrue();
        });
    }

    @Test
    void whatWasDeletedAfterTheCopyWasMadeIsInDoubtUntilItIsWrittenAgain() {
        items.replace(List.of(item("a", 5, 1), item("b", 6, 1)), at(1, 6));
        items.merge(List.of(deleted("a", 7), deleted("b", 8)), at(1, 6), at(1, 8));
        List<ItemChange> news = items.replace(List.of(item("a", 5, 1), item("b", 7, 1)), at(2, 7));
        assertThat(news)
                .containsExactlyInAnyOrder(
                        new ItemChange(item("a", 5, 1), true), new ItemChange(item("b", 7, 1), false));
    }

    // One process reads the store; the other hears of it by messages that get lost, and asks when it is behind.
    @Property(seed = "20261203", tries = 300)
    void bothProcessesEndWithWhatTheStoreHolds(@ForAll long seed) {
        Random random = new Random(seed);
        Store store = new Store();
        PublishedItems reader = new PublishedItems();
        PublishedItems listener = new PublishedItems();
        for (int step = 0; step < 60; step++) {
            store.act(random);
            if (random.nextInt(3) == 0) {
                StorePosition before = reader.position();
                List<ItemChange> news = store.read(reader);
                if (before.revision() > 0 && random.nextInt(4) > 0) {
                    listener.merge(news.stream().map(ItemChange::item).toList(), before, reader.position());
                }
            }
            if (random.nextInt(8) == 0 && reader.position().isAfter(listener.position())) {
                listener.replace(reader.live(), reader.position());
            }
        }
        store.read(reader);
        if (reader.position().isAfter(listener.position())) {
            listener.replace(reader.live(), reader.position());
        }
        assertThat(values(reader)).isEqualTo(store.values());
        assertThat(values(listener)).isEqualTo(store.values());
    }

    /** A store with its history and a copy. */
    private static final class Store {
        private final List<PublishedItem> history = new ArrayList<>();
        private long era = 1;
        private int copied;
        private int written;

        void act(Random random) {
            int action = random.nextInt(12);
            if (action == 0) {
                copied = history.size();
            } else if (action == 1) {
                history.subList(copied, history.size()).clear();
                era++;
            } else {
                String key = "k" + random.nextInt(4);
                long revision = history.size() + 1L;
                history.add(random.nextInt(4) == 0 ? deleted(key, revision) : item(key, revision, ++written));
            }
        }

        StorePosition position() {
            return at(era, history.size());
        }

        /** By a waiting call where the store has the history, else whole. */
        List<ItemChange> read(PublishedItems reader) {
            StorePosition known = reader.position();
            if (known.era() == era) {
                List<PublishedItem> changes = List.copyOf(history.subList((int) known.revision(), history.size()));
                return reader.merge(changes, known, position());
            }
            return reader.replace(List.copyOf(state().values()), position());
        }

        private Map<String, PublishedItem> state() {
            Map<String, PublishedItem> state = new TreeMap<>();
            history.forEach(item -> state.put(item.key(), item));
            state.values().removeIf(PublishedItem::deleted);
            return state;
        }

        Map<String, Byte> values() {
            return StoreErasTest.values(state().values());
        }
    }

    private static Map<String, Byte> values(PublishedItems known) {
        return values(known.live());
    }

    private static Map<String, Byte> values(Iterable<PublishedItem> live) {
        List<PublishedItem> all = new ArrayList<>();
        live.forEach(all::add);
        return all.stream().collect(Collectors.toMap(PublishedItem::key, item -> item.value()[0]));
    }

    private static StorePosition at(long era, long revision) {
        return new StorePosition(era, revision);
    }

    private static PublishedItem item(String key, long revision, int value) {
        return new PublishedItem(key, new byte[] {(byte) value}, revision, false);
    }

    private static PublishedItem deleted(String key, long revision) {
        return new PublishedItem(key, new byte[0], revision, true);
    }
}
