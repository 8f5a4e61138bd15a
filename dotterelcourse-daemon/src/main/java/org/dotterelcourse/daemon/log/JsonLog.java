package org.dotterelcourse.daemon.log;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.LogManager;

/**
 * Configures logging: JSON lines on standard error, at level INFO and above. JBoss Logging and SLF4J are backed by
 * {@code java.util.logging}, which instantiates this class to read its configuration.
 *
 * <p>JBoss LogManager is not used because each class that it loads delays the start: with its properties, its JSON
 * formatter and the second JSON library that it requires, it took 110 ms of the 400 ms of CPU time that a router's main
 * thread needs until it listens. This set-up takes 50 ms (minimum of five starts with a class archive on a shared
 * machine).
 */
public final class JsonLog {
    /**
     * Configuration of {@code java.util.logging}. The HTTP client logs a stack trace for each broken connection, although
     * the log line of the affected request or call already reports the failure. While a store or a worker is unavailable,
     * these traces would make up most of the log.
     */
    private static final String SETTINGS = "handlers=org.dotterelcourse.daemon.log.JsonLineHandler\n"
            + ".level=INFO\n"
            + "reactor.netty.http.client.HttpClientConnect.level=SEVERE\n";

    /**
     * Applies the configuration to {@code java.util.logging}.
     *
     * @throws IOException never, since the configuration is read from memory
     */
    public JsonLog() throws IOException {
        LogManager.getLogManager()
                .readConfiguration(new ByteArrayInputStream(SETTINGS.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Selects this configuration. Must be called before the first logger is created, since the back end is chosen once. */
    public static void choose() {
        System.setProperty("org.jboss.logging.provider", "jdk");
        System.setProperty("java.util.logging.config.class", JsonLog.class.getName());
    }
}
