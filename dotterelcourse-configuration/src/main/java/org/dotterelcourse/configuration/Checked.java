package org.dotterelcourse.configuration;

import java.util.List;

/**
 * The outcome of reading a text: its value, or everything that is wrong with it.
 *
 * @param <T> what the text holds
 */
public sealed interface Checked<T> {
    /**
     * The text is right.
     *
     * @param value what it holds
     * @param <T> the value's type
     */
    record Valid<T>(T value) implements Checked<T> {}

    /**
     * The text is wrong; nothing of it is used.
     *
     * @param findings what is wrong, in the order of the text, never empty
     * @param <T> the type that a right text would have had
     */
    record Invalid<T>(List<Finding> findings) implements Checked<T> {}
}
