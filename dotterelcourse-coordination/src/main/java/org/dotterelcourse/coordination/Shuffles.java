package org.dotterelcourse.coordination;

import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/** Shuffles lists with any generator; the JDK's own shuffle wants a {@code java.util.Random} up to Java 21. */
public final class Shuffles {

    private Shuffles() {}

    /**
     * Puts a list into random order, each order being equally likely (Fisher and Yates).
     *
     * @param list changed in place
     * @param random the source of randomness
     */
    public static void shuffle(List<?> list, RandomGenerator random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
