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

    private IndexedList(List<T> elements, List<Map<String, T>> indexes) {
        this.elements = elements;
        this.indexes = indexes;
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
                elements, keys.stream().map(key -> index(elements, key)).toList());
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
