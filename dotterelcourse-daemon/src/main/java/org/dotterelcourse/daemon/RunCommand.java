package org.dotterelcourse.daemon;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.dotterelcourse.configuration.Checked;
import org.dotterelcourse.configuration.DaemonSettings;
import org.dotterelcourse.configuration.DaemonSettingsReader;
import org.dotterelcourse.daemon.kernel.StartupFailure;

/** Command that runs a daemon until it has drained; SIGTERM starts the drain. */
@Command(name = "run", description = "Run a daemon until SIGTERM, which drains it")
public final class RunCommand {
    static final int EXIT_NOT_STARTED = 2;

    @Option(
            name = {"--settings"},
            title = "FILE",
            description = "The daemon's settings, INI: docs/CONFIGURATION.md")
    @Required
    private String settingsFile;

    /**
     * Reads the settings, starts the daemon and waits until it has drained. Errors go to standard error.
     *
     * @return the exit code: 0 after a drain, {@link #EXIT_NOT_STARTED} if the daemon could not start
     * @throws InterruptedException if the thread is interrupted while the daemon runs
     */
    int run() throws InterruptedException {
        String text;
        try {
            text = Files.readString(Path.of(settingsFile), StandardCharsets.UTF_8);
        } catch (IOException e) {
            System.err.println(settingsFile + ": can't be read: " + e);
            return EXIT_NOT_STARTED;
        }
        Checked<DaemonSettings> checked = new DaemonSettingsReader().read(settingsFile, text);
        if (checked instanceof Checked.Invalid<DaemonSettings> invalid) {
            invalid.findings().forEach(System.err::println);
            return EXIT_NOT_STARTED;
        }
        return run(((Checked.Valid<DaemonSettings>) checked).value());
    }

    private static int run(DaemonSettings settings) throws InterruptedException {
        Daemon daemon = new Daemon(settings);
        List<StartupFailure> failures = daemon.start();
        if (!failures.isEmpty()) {
            failures.forEach(failure -> System.err.println(failure.service() + ": " + failure.problem()));
            return EXIT_NOT_STARTED;
        }
        CountDownLatch drained = new CountDownLatch(1);
        daemon.drain().done().subscribe(ignored -> {}, error -> {}, drained::countDown);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndWait(daemon, drained), "shutdown"));
        System.out.println(readyLine(settings, daemon));
        drained.await();
        daemon.stop();
        return 0;
    }

    /** Starts the drain and blocks the shutdown hook, so that the process exits only after the requests in flight. */
    private static void drainAndWait(Daemon daemon, CountDownLatch drained) {
        daemon.drain().begin("SIGTERM");
        try {
            drained.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readyLine(DaemonSettings settings, Daemon daemon) {
        return new ObjectMapper()
                .createObjectNode()
                .put("ready", true)
                .put("daemon", settings.name())
                .put("callers", settings.address() + ":" + daemon.callersPort())
                .put("operators", settings.address() + ":" + daemon.operatorsPort())
                .put("peers", settings.address() + ":" + daemon.peersPort())
                .toString();
    }
}
