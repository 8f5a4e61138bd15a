package org.dotterelcourse.configuration;

import java.util.AbstractList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.RandomAccess;
import java.util.function.Function;

/**
 * An immutable list with hash indexes. It lets a record expose a list and still find elements in constant time.
 *
 * @param <T> the type of the elements
 */
final class IndexedList<T> extends AbstractList<T> implements RandomAccess {
    private final List<T> elements;
    private final List<Map<String, T>> indexes;
    private final SectionDigests<T> digests;

    private IndexedList(List<T> elements, List<Map<String, T>> indexes, SectionDigests<T> digests) {
        this.elements = elements;
        this.indexes = indexes;
        this.digests = digests;
    }

    /**
     * Indexes a list, or returns it unchanged if it is an indexed list already.
     *
     * @param source the elements in order
     * @param keys the functions that extract the keys; each gets an index
     * @param <T> the type of the elements
     * @return the indexed list
     */
    static <T> IndexedList<T> of(List<T> source, List<Function<T, String>> keys) {
        if (source instanceof IndexedList<T> indexedList) {
            return indexedList;
        }
        List<T> elements = List.copyOf(source);
        return new IndexedList<>(
                elements, keys.stream().map(key -> index(elements, key)).toList(), null);
    }

    /**
     * Attaches the digests of the elements' sections to the list.
     *
     * @param newDigests the digests of the elements
     * @return a list of the same elements with these digests
     */
    IndexedList<T> withDigests(SectionDigests<T> newDigests) {
        return new IndexedList<>(elements, indexes, newDigests);
    }

    /**
     * Returns the digests attached to a list.
     *
     * @param list any list
     * @param <T> the type of the elements
     * @return the digests, or null if none are attached
     */
    static <T> SectionDigests<T> digests(List<T> list) {
        return list instanceof IndexedList<T> indexedList ? indexedList.digests : null;
    }

    /**
     * Finds an element by key.
     *
     * @param list a list made by {@link #of}
     * @param index the position of the key function in the list passed to {@link #of}
     * @param key the key to find
     * @param <T> the type of the elements
     * @return the first element with that key, or empty if none matches
     */
    static <T> Optional<T> find(List<T> list, int index, String key) {
        IndexedList<T> indexedList = (IndexedList<T>) list;
        return Optional.ofNullable(indexedList.indexes.get(index).get(key));
    }

    private static <T> Map<String, T> index(List<T> elements, Function<T, String> key) {
        Map<String, T> index = new HashMap<>(elements.size() * 2);
        for (T element : elements) {
            index.putIfAbsent(key.apply(element), element);
        }
        return index;
    }

    @Override
    public T get(int index) {
        return elements.get(index);
    }

    @Override
    public int size() {
        return elements.size();
    }
}
