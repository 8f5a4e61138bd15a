package org.dotterelcourse.daemon.kernel;

/**
 * Typed key for looking up a service in a {@link Kernel}.
 *
 * @param value the name, unique in a kernel
 * @param type class or interface through which the service is used
 * @param <T> the type of the service returned by a look-up
 */
public record ServiceName<T>(String value, Class<T> type) {
    @Override
    public String toString() {
        return value;
    }
}
