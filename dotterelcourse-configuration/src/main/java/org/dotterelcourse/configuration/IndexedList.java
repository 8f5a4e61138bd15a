package org.dotterelcourse.configuration;

import java.util.AbstractList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.RandomAccess;
import java.util.function.Function;

/**
 * An immutable list with hash indexes, so that a record can hold a list and look its elements up in constant time.
 *
 * @param <T> the elements
 */
final class IndexedList<T> extends AbstractList<T> implements RandomAccess {
    private final List<T> elements;
    private final List<Map<String, T>> indexes;
    private final SectionSums<T> sums;

    private IndexedList(List<T> elements, List<Map<String, T>> indexes, SectionSums<T> sums) {
        this.elements = elements;
        this.indexes = indexes;
        this.sums = sums;
    }

    /**
     * Indexes a list, unless it already is.
     *
     * @param source the elements
     * @param keys one index is made for each of these
     * @param <T> the elements' type
     * @return the indexed list
     */
    static <T> IndexedList<T> of(List<T> source, List<Function<T, String>> keys) {
        if (source instanceof IndexedList<T> indexed) {
            return indexed;
        }
        List<T> elements = List.copyOf(source);
        return new IndexedList<>(
                elements, keys.stream().map(key -> index(elements, key)).toList(), null);
    }

    /**
     * Keeps the sums of the elements' sections with the list.
     *
     * @param known the sums
     * @return a list of the same elements
     */
    IndexedList<T> withSums(SectionSums<T> known) {
        return new IndexedList<>(elements, indexes, known);
    }

    /**
     * The sums that were kept with a list.
     *
     * @param list the list
     * @param <T> the elements' type
     * @return the sums, or null if there are none
     */
    static <T> SectionSums<T> sums(List<T> list) {
        return list instanceof IndexedList<T> indexed ? indexed.sums : null;
    }

    /**
     * Looks an element up.
     *
     * @param list a list made by {@link #of}
     * @param index the place of the key's function in the list that was given there
     * @param key the key
     * @param <T> the elements' type
     * @return the first element with that key, or empty
     */
    static <T> Optional<T> find(List<T> list, int index, String key) {
        IndexedList<T> indexed = (IndexedList<T>) list;
        return Optional.ofNullable(indexed.indexes.get(index).get(key));
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
