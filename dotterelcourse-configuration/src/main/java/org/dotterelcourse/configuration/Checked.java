package org.dotterelcourse.configuration;

import java.util.List;

/**
 * The result of parsing and validating a text: the parsed value, or all validation findings.
 *
 * @param <T> the type of the parsed value
 */
public sealed interface Checked<T> {
    /**
     * The text is valid.
     *
     * @param value the parsed value
     * @param <T> the type of the parsed value
     */
    record Valid<T>(T value) implements Checked<T> {}

    /**
     * The text is invalid and none of it takes effect.
     *
     * @param findings all validation errors in document order, never empty
     * @param <T> the type of the value that a valid text yields
     */
    record Invalid<T>(List<Finding> findings) implements Checked<T> {}
}
