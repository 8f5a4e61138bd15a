package org.dotterelcourse.configuration;

import java.time.Duration;

/**
 * How a gateway process takes over a published configuration.
 *
 * @param within time within which the configuration must be in force on every process
 * @param step longest time for which the event loop decodes a part of it before it handles requests again
 * @param compressAboveBytes size in bytes above which it is sent to peers in compressed form and along a tree
 */
public record ConfigurationUpdate(Duration within, Duration step, int compressAboveBytes) {
    /** The values that apply where nothing is set. */
    public static final ConfigurationUpdate DEFAULT =
            new ConfigurationUpdate(Duration.ofMillis(2_000), Duration.ofMillis(2), 8_192);
}
