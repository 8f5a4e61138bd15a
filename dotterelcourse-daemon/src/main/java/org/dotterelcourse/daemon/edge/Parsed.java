package org.dotterelcourse.daemon.edge;

import org.dotterelcourse.daemon.dispatch.Failure;

/**
 * A part of a request that was looked at: what it says, or what is wrong with it.
 *
 * @param <T> what a right one holds
 */
sealed interface Parsed<T> {
    /** It is right. */
    record Right<T>(T value) implements Parsed<T> {}

    /** It is wrong; the caller is told so, and nothing was run. */
    record Wrong<T>(Failure failure) implements Parsed<T> {}

    static <T> Parsed<T> right(T value) {
        return new Right<>(value);
    }

    static <T> Parsed<T> wrong(Failure failure) {
        return new Wrong<>(failure);
    }
}
