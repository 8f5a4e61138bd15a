package org.dotterelcourse.daemon.log;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.LogManager;

/**
 * Sets the log up: lines of JSON on the standard error output, from the level INFO on. JBoss Logging and SLF4J write by
 * the JDK's own loggers, and the JDK makes an object of this class to learn their settings.
 *
 * <p>A start pays for each class of its log: JBoss's log manager with its properties, its JSON formatter and the second
 * JSON library that this brings took 110 ms of the 400 ms of processor time that a router's main thread needs until it
 * listens, this set-up takes 50 ms (smallest of five starts, classes out of an archive, beside other work).
 */
public final class JsonLog {
    /**
     * The HTTP client writes a stack trace for each connection that breaks, which our own line of that request or call
     * tells in a word; while a store or a worker is away these traces would be most of the log.
     */
    private static final String SETTINGS = "handlers=org.dotterelcourse.daemon.log.JsonLineHandler\n"
            + ".level=INFO\n"
            + "reactor.netty.http.client.HttpClientConnect.level=SEVERE\n";

    /**
     * Gives the JDK the settings of its loggers.
     *
     * @throws IOException never, since the settings are in memory
     */
    public JsonLog() throws IOException {
        LogManager.getLogManager()
                .readConfiguration(new ByteArrayInputStream(SETTINGS.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Chooses this log. It has to come before any class asks for a logger, since a back end is chosen once. */
    public static void choose() {
        System.setProperty("org.jboss.logging.provider", "jdk");
        System.setProperty("java.util.logging.config.class", JsonLog.class.getName());
    }
}
