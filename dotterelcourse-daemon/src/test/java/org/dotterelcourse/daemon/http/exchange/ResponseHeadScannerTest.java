package org.dotterelcourse.daemon.http.exchange;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.dotterelcourse.daemon.http.exchange.ResponseHeadScanner.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseHeadScannerTest {
    private static final String NEXT = "HTTP/1.1 500 Any\r\nId: 2\r\nContent-Length: 5\r\n\r\n";
    private static final String BODY = "hello";

    private final ResponseHeadScanner scanner = new ResponseHeadScanner();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 200\r\n\r\n",
                "HTTP/1.1 200 \r\n\r\n",
                "HTTP/1.0 404 Not Found\r\nServer: x\r\n\r\n",
                "HTTP/1.1 100 Lowest\r\n\r\n",
                "HTTP/1.1 599 Highest\r\n\r\n",
                "HTTP/1.1 503 \u00e9\u00ff\r\nX-Empty:\r\nX-Spaces:  \t a \t \r\nX-Colons: a:b::\r\n\r\n",
                "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: \u0080\u00ff\r\n\r\n",
                "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, HTTP/2\r\n\r\n",
                "HTTP/1.1 200 OK\r\nHTTP: 1.1 200\r\n\r\n"
            })
    void aHeadIsCompleteAtItsLastByteInAnyPackets(String head) {
        assertThat(resultsByLength(head, 1)).isEqualTo(incompleteUntil(head.length()));
        scanner.reset();
        assertThat(scan(head + BODY)).isEqualTo(Result.COMPLETE);
        assertThat(scanner.scannedBytes()).isEqualTo(head.length());
    }

    // Guards against tolerance of a recipient that lets the rest of one head pass for a line of another.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\nHTTP/1.1 200 OK\r\n\r\n",
                " HTTP/1.1 200 OK\r\n\r\n",
                "http/1.1 200 OK\r\n\r\n",
                "HTTP/1.1  200 OK\r\n\r\n",
                "HTTP/1.1 20 OK\r\n\r\n",
                "HTTP/1.1 2000 OK\r\n\r\n",
                "HTTP/1.1 200\tOK\r\n\r\n",
                "HTTP/1.1 000 None\r\n\r\n",
                "HTTP/1.1 001 One\r\n\r\n",
                "HTTP/1.1 099 Low\r\n\r\n",
                "HTTP/1.1 600 High\r\n\r\n",
                "HTTP/1.1 999 Highest\r\n\r\n",
                "HTTP/0.9 200 OK\r\n\r\n",
                "HTTP/2.0 200 OK\r\n\r\n",
                "HTTP/9.9 200 OK\r\n\r\n",
                "HTTP/1.1 200 OK\n\n",
                "HTTP/1.1 200 OK\rX: 1\r\n\r\n",
                "HTTP/1.1 200 O\0K\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: 1\nY: 2\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: 1\rY: 2\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: 1\r\n folded\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: 1\r\n\tfolded\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX : 1\r\n\r\n",
                "HTTP/1.1 200 OK\r\n: 1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\u00e9: 1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: \u0001\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: \u007f\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: 1\r\n\rX",
                "1.1 200 OK\r\n\r\n",
                "extra",
                "0\r\n\r\n"
            })
    void whatIsNoHeadIsInvalidInAnyPackets(String text) {
        assertThat(scan(text)).isEqualTo(Result.INVALID);
        scanner.reset();
        assertThat(resultsByLength(text, 1)).endsWith(Result.INVALID).doesNotContain(Result.COMPLETE, Result.JOINED);
    }

    // Guards against two heads that are read as one.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nDate: now\r\nContent-Type: text/plain\r\nId: 1\r\nContent-Length: 5\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                "HTTP/1.1 204\r\n\r\n",
                "HTTP/1.1 500 HTTP/1.1 50\r\nH: HTTP/1.1\r\nHTTP: HTTP/\r\n\r\n"
            })
    void theBeginningOfAHeadBeforeAnotherHeadIsRejectedAtEveryCutInAnyPackets(String head) {
        for (int cut = 1; cut < head.length(); cut++) {
            String joined = head.substring(0, cut) + NEXT;
            for (int packetBytes : new int[] {1, 7, joined.length()}) {
                scanner.reset();
                assertThat(resultsByLength(joined, packetBytes))
                        .as("cut at %d, packets of %d bytes", cut, packetBytes)
                        .doesNotContain(Result.COMPLETE)
                        .last()
                        .isIn(Result.JOINED, Result.INVALID);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nContent-Ty", "HTTP/1.1 200 OK\r\n"
            })
    void aSecondStatusLineIsReportedAsSuch(String beginning) {
        assertThat(scan(beginning + NEXT)).isEqualTo(Result.JOINED);
    }

    @Test
    void aHeadThatIsTooLongIsInvalid() {
        String head = "HTTP/1.1 200 OK\r\nX: " + "x".repeat(ResponseHeadScanner.MAX_BYTES);
        assertThat(scan(head)).isEqualTo(Result.INVALID);
    }

    @Test
    void aScannerThatIsResetChecksTheNextHead() {
        assertThat(scan("HTTP/1.1 200 OK\r\nX: HTTP/1.1 20")).isEqualTo(Result.INCOMPLETE);
        scanner.reset();
        assertThat(scanner.scannedBytes()).isZero();
        assertThat(scan(NEXT)).isEqualTo(Result.COMPLETE);
    }

    private Result scan(String text) {
        return scanner.scan(buffer(text));
    }

    /** Returns the results after each packet. */
    private List<Result> resultsByLength(String text, int packetBytes) {
        ByteBuf data = buffer(text);
        int packets = (text.length() + packetBytes - 1) / packetBytes;
        return IntStream.rangeClosed(1, packets)
                .mapToObj(packet -> scanner.scan(data.slice(0, Math.min(text.length(), packet * packetBytes))))
                .toList();
    }

    private static List<Result> incompleteUntil(int length) {
        return IntStream.rangeClosed(1, length)
                .mapToObj(count -> count < length ? Result.INCOMPLETE : Result.COMPLETE)
                .toList();
    }

    private static ByteBuf buffer(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
