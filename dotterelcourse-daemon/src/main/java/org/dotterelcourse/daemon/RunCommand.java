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

/** Runs a daemon until SIGTERM, which drains it. */
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
     * Runs.
     *
     * @return the exit code
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
        List<StartupFailure> findings = daemon.start();
        if (!findings.isEmpty()) {
            findings.forEach(finding -> System.err.println(finding.service() + ": " + finding.problem()));
            return EXIT_NOT_STARTED;
        }
        CountDownLatch drained = new CountDownLatch(1);
        daemon.drain().done().subscribe(none -> {}, error -> {}, drained::countDown);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon, drained), "shutdown"));
        System.out.println(readyLine(settings, daemon));
        drained.await();
        daemon.stop();
        return 0;
    }

    /** The signal's handler holds up the end of the process until the last request in flight has its answer. */
    private static void shutDown(Daemon daemon, CountDownLatch drained) {
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
