package org.dotterelcourse.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.Paths;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** A daemon as a real process, started from its jar with a settings file of its own. */
final class DaemonProcess {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final Duration CALL_LIMIT = Duration.ofSeconds(5);
    private static final Path JAR =
            Paths.get("..", "target", "dotterelcourse-daemon", "dotterelcourse-daemon-0.1.0-SNAPSHOT-all.jar");

    private final String name;
    private final Process process;
    private final Path output;
    private JsonNode ready;

    private DaemonProcess(String name, Process process, Path output) {
        this.name = name;
        this.process = process;
        this.output = output;
    }

    /** Starts it without waiting until it listens. */
    static DaemonProcess start(String name, String settings, Path directory) {
        if (!Files.exists(JAR)) {
            throw new IllegalStateException(JAR + " is missing: run mvn package before these tests");
        }
        try {
            Path file = Files.writeString(directory.resolve(name + ".ini"), settings);
            Path output = directory.resolve(name + ".log");
            Process process = new ProcessBuilder(
                            Paths.get(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx192m",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-jar",
                            JAR.toString(),
                            "--settings",
                            file.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(output.toFile())
                    .start();
            return new DaemonProcess(name, process, output);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits until it listens. */
    DaemonProcess awaitReady() {
        Await.until(name + " listens", () -> {
            if (!process.isAlive()) {
                throw new AssertionError(name + " ended with " + process.exitValue() + ": " + log());
            }
            ready = readyLine();
            return ready != null;
        });
        return this;
    }

    String name() {
        return name;
    }

    String callers() {
        return ready.path("callers").asText();
    }

    String peers() {
        return ready.path("peers").asText();
    }

    /** The answer of its operators' port. */
    HttpResponse<String> operators(String path) {
        String address = ready.path("operators").asText();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(CALL_LIMIT)
                .build();
        try {
            return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The number of the configuration in force, 0 for none. */
    long configuration() {
        return json(operators("/configuration").body()).path("number").asLong(0);
    }

    /** How many daemons it takes for alive, itself among them. */
    long aliveMembers() {
        long alive = 0;
        for (JsonNode each : json(operators("/members").body())) {
            alive += each.path("state").asText().equals("ALIVE") ? 1 : 0;
        }
        return alive;
    }

    /** Sends a signal to the process: TERM, KILL, STOP or CONT. */
    void signal(String signal) {
        try {
            int code = new ProcessBuilder(List.of("kill", "-" + signal, Long.toString(process.pid())))
                    .start()
                    .waitFor();
            if (code != 0) {
                throw new IllegalStateException("kill -" + signal + " " + name + " ended with " + code);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Ends the process at once. */
    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    String log() {
        try {
            return Files.readString(output);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private JsonNode readyLine() {
        return log().lines()
                .filter(line -> line.startsWith("{\"ready\":true"))
                .findFirst()
                .map(DaemonProcess::json)
                .orElse(null);
    }

    private static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
