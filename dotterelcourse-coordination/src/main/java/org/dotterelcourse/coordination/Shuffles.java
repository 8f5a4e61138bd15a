package org.dotterelcourse.coordination;

import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Shuffles lists with any {@link RandomGenerator}. Up to Java 21, {@link Collections#shuffle} accepts only a
 * {@code java.util.Random}.
 */
public final class Shuffles {

    private Shuffles() {}

    /**
     * Permutes a list uniformly at random (Fisher-Yates shuffle).
     *
     * @param list the list to permute in place
     * @param random the source of randomness
     */
    public static void shuffle(List<?> list, RandomGenerator random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
