package org.dotterelcourse.standins;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** An HTTP server on a plain socket whose answers are any bytes, and which may end a connection anywhere in an answer. */
public final class RawAnswerServer implements AutoCloseable {
    private static final int BACKLOG = 128;
    private static final long PAUSE_MILLIS = 1;

    /** Time in which the client reads what arrived before a reset, which would discard it otherwise. */
    private static final long READ_MILLIS = 4;

    private final ServerSocket listener;
    private final Function<Request, Answer> answers;

    /** How a connection ends. */
    public enum End {
        /** Both directions are closed in order. */
        FIN,
        /** The connection is reset after the client has had time to read the answer. */
        RESET
    }

    /**
     * A request.
     *
     * @param head the request line and the headers
     * @param number the number of the request on its connection, from 1
     */
    public record Request(String head, int number) {
        /**
         * Returns the value of a header.
         *
         * @param name name of the header, in any case
         * @return its first value, or empty text
         */
        public String header(String name) {
            String prefix = name.toLowerCase(Locale.ROOT) + ":";
            return head.lines()
                    .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
                    .map(line -> line.substring(prefix.length()).trim())
                    .findFirst()
                    .orElse("");
        }
    }

    /**
     * An answer.
     *
     * @param bytes the bytes, of which each character is one
     * @param pieceBytes number of bytes that are written at once, with a pause after them
     * @param end how the connection ends after the bytes; empty if it is kept for another request
     */
    public record Answer(String bytes, int pieceBytes, Optional<End> end) {}

    /**
     * Starts a server on a free port of the loopback interface.
     *
     * @param answers returns the answer to a request; called by several threads
     */
    public RawAnswerServer(Function<Request, Answer> answers) {
        this.answers = answers;
        try {
            listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        start(this::accept);
    }

    /**
     * Returns the address of the server.
     *
     * @return an address of the loopback interface
     */
    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "raw-answers");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Optional<End> end = Optional.empty();
            for (int number = 1; end.isEmpty(); number++) {
                Answer answer = answers.apply(new Request(readRequest(socket.getInputStream()), number));
                write(socket.getOutputStream(), answer);
                end = answer.end();
            }
            if (end.get() == End.RESET) {
                TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            // The client has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(OutputStream out, Answer answer) throws IOException, InterruptedException {
        byte[] bytes = answer.bytes().getBytes(StandardCharsets.ISO_8859_1);
        for (int start = 0; start < bytes.length; start += answer.pieceBytes()) {
            out.write(bytes, start, Math.min(answer.pieceBytes(), bytes.length - start));
            out.flush();
            if (start + answer.pieceBytes() < bytes.length) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        }
    }

    private static String readRequest(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended before a request");
            }
            head.write(next);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        String length = new Request(text, 0).header("Content-Length");
        in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        return text;
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
