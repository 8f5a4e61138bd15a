package org.dotterelcourse.daemon.http.exchange;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.dotterelcourse.daemon.http.exchange.ResponseFault.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ChunkScannerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ChunkScanner scanner = new ChunkScanner();
    private final CodecFixture connection = new CodecFixture();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "0\r\n\r\n",
                "5\r\nhello\r\n0\r\n\r\n",
                "00005\r\nhello\r\n000\r\n\r\n",
                "a\r\n0123456789\r\nB\r\n0\r\n\r\n0\r\n\r\nx\r\n0\r\n\r\n",
                "5;name=value\r\nhello\r\n0 ; any\r\n\r\n",
                "5  \r\nhello\r\n0\r\n\r\n",
                "5\r\nhello\r\n0\r\nX-Sum: 7\r\nX-Empty:\r\nX-Text:\t\u00e9 a:b \r\n\r\n"
            })
    void aBodyByTheGrammarIsValidInAnyPackets(String body) {
        assertThat(scan(body, body.length())).isTrue();
        scanner.reset();
        assertThat(scan(body, 1)).isTrue();
        connection.send("1").receive(HEAD + body);
        assertThat(connection.deliveries()).hasSize(1).allMatch(CodecFixture.Delivery::isWhole);
        assertThat(connection.isReusable()).isTrue();
    }

    // Guards against a line that is none and is tolerated, so that a body looks whole which the server has not sent.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n",
                " 5\r\nhello\r\n0\r\n\r\n",
                "-5\r\nhello",
                "g\r\n",
                "5x\r\nhello\r\n0\r\n\r\n",
                "5\nhello\r\n0\r\n\r\n",
                "5\r\nhelloo\r\n0\r\n\r\n",
                "5\r\nhello\n0\r\n\r\n",
                "5;\0\r\nhello\r\n0\r\n\r\n",
                "80000000\r\n",
                "000000005\r\n",
                "0\r\nX Sum: 7\r\n\r\n",
                "0\r\nX-Sum : 7\r\n\r\n",
                "0\r\nX-Sum\t: 7\r\n\r\n",
                "0\r\nX\0Sum: 7\r\n\r\n",
                "0\r\nX\u0001Sum: 7\r\n\r\n",
                "0\r\nX\u007fSum: 7\r\n\r\n",
                "0\r\nX\u0085Sum: 7\r\n\r\n",
                "0\r\nX(Sum): 7\r\n\r\n",
                "0\r\n: 7\r\n\r\n",
                "0\r\nno colon\r\n\r\n",
                "0\r\nX\r\n\r\n",
                "0\r\nX-Sum: 7\r\n folded\r\n\r\n",
                "0\r\nX-Sum: \0\r\n\r\n",
                "0\r\nX-Sum: 7\nY: 8\r\n\r\n",
                "0\r\nX-Sum: 7\rY: 8\r\n\r\n",
                "0\r\n\n",
                "0\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
            })
    void aLineThatIsNotByTheGrammarIsInvalidInAnyPackets(String body) {
        assertThat(scan(body, body.length())).isFalse();
        scanner.reset();
        assertThat(scan(body, 1)).isFalse();
        connection.send("1").receive(HEAD + body);
        assertThat(connection.deliveries()).noneMatch(CodecFixture.Delivery::isWhole);
        assertThat(connection.faultKinds()).containsExactly(Kind.INVALID_BODY);
        assertThat(connection.isOpen()).isFalse();
    }

    private boolean scan(String body, int packetBytes) {
        ByteBuf data = Unpooled.buffer();
        boolean isValid = true;
        for (int begin = 0; begin < body.length() && isValid; begin += packetBytes) {
            data.writeCharSequence(
                    body.substring(begin, Math.min(body.length(), begin + packetBytes)), StandardCharsets.ISO_8859_1);
            isValid = scanner.scan(data);
        }
        return isValid;
    }
}
