package org.dotterelcourse.standins;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Cuts a stream of bytes into lines of UTF-8, wherever the network cut it. */
final class SseLines {
    private static final int MAX_LINE = 1 << 20;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Consumer<String> use;

    SseLines(Consumer<String> use) {
        this.use = use;
    }

    void accept(byte[] bytes) {
        for (byte each : bytes) {
            if (each == '\n') {
                use.accept(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else if (line.size() < MAX_LINE) {
                line.write(each);
            }
        }
    }
}
