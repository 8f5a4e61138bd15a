package org.dotterelcourse.daemon.edge;

import org.dotterelcourse.daemon.dispatch.Failure;

/**
 * The result of checking a part of a request: its parsed value, or the failure to send to the caller.
 *
 * @param <T> the type of a valid value
 */
sealed interface Parsed<T> {
    /**
     * The part is valid.
     *
     * @param value the parsed value
     * @param <T> the type of the value
     */
    record Valid<T>(T value) implements Parsed<T> {}

    /**
     * The part is invalid, and the request is refused without being run.
     *
     * @param failure the failure to send to the caller
     * @param <T> the type that a valid value would have had
     */
    record Invalid<T>(Failure failure) implements Parsed<T> {}

    static <T> Parsed<T> valid(T value) {
        return new Valid<>(value);
    }

    static <T> Parsed<T> invalid(Failure failure) {
        return new Invalid<>(failure);
    }
}
