package org.dotterelcourse.daemon.kernel;

/**
 * The name that a service is found by, with the type that it is used as.
 *
 * @param value the name, unique in a kernel
 * @param type what a look-up returns
 * @param <T> that type
 */
public record ServiceName<T>(String value, Class<T> type) {
    @Override
    public String toString() {
        return value;
    }
}
