package org.dotterelcourse.daemon.http.exchange;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.daemon.http.exchange.CodecFixture.Delivery;
import org.dotterelcourse.daemon.http.exchange.ResponseFault.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what is delivered of the response to a request, and what becomes of its connection. */
class ExchangeCodecTest {
    private static final int WHOLE = Integer.MAX_VALUE;
    private static final String HELLO = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello";

    private final CodecFixture connection = new CodecFixture();

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, WHOLE})
    void aResponseWithALengthIsDeliveredInAnyPackets(int packetBytes) {
        connection.send("1").receive(HELLO, packetBytes);
        assertDelivered(200, "hello");
        assertThat(connection.isReusable()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, WHOLE})
    void aResponseInChunksIsDeliveredWithItsTrailersInAnyPackets(int packetBytes) {
        String response = "HTTP/1.1 404 Not Found\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nX-Sum: 7\r\n\r\n";
        connection.send("1").receive(response, packetBytes);
        assertThat(assertDelivered(404, "hello").trailers().get("X-Sum")).isEqualTo("7");
        assertThat(connection.isReusable()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, WHOLE})
    void aResponseWithoutFramingIsDeliveredUntilTheEndOfItsConnection(int packetBytes) {
        connection.send("1").receive("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello", packetBytes);
        assertThat(connection.deliveries().get(0).isWhole()).isFalse();
        connection.end();
        assertDelivered(200, "hello");
    }

    @ParameterizedTest
    @CsvSource({
        "GET, 204, X: 1, 1", "GET, 204, X: 1, 1000",
        "GET, 304, Content-Length: 5, 1", "GET, 304, Content-Length: 5, 1000",
        "HEAD, 200, Content-Length: 5, 1", "HEAD, 200, Content-Length: 5, 1000",
        "HEAD, 200, Transfer-Encoding: chunked, 1", "HEAD, 200, Transfer-Encoding: chunked, 1000",
        "POST, 200, Content-Length: 0, 1", "POST, 200, Content-Length: 0, 1000"
    })
    void aResponseWithoutABodyEndsWithItsHead(String method, int status, String header, int packetBytes) {
        String response = "HTTP/1.1 " + status + " Any\r\nId: 1\r\n" + header + "\r\n\r\n";
        connection.send(HttpMethod.valueOf(method), "1").receive(response, packetBytes);
        assertDelivered(status, "");
        assertThat(connection.isReusable()).isTrue();
    }

    // Guards against a body that is expected, or not, because of the method of another request on the connection.
    @Test
    void theMethodOfEachRequestTellsWhetherItsResponseHasABody() {
        String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\n";
        connection.send(HttpMethod.HEAD, "1").receive(head);
        connection.send(HttpMethod.GET, "1").receive(head + "hello");
        connection.send(HttpMethod.HEAD, "1").receive(head);
        assertThat(connection.deliveries()).extracting(Delivery::body).containsExactly("", "hello", "");
        assertThat(connection.deliveries()).allMatch(Delivery::isWhole);
        assertThat(connection.exchangeCount()).isEqualTo(3);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 2",
                "HTTP/1.1 200 OK\r\nId",
                "x",
                "\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            })
    void dataOnAnIdleConnectionClosesIt(String data) {
        connection.send("1").receive(HELLO).receive(data, 1);
        assertThat(connection.isOpen()).isFalse();
        assertThat(connection.errors()).isEmpty();
        assertThat(connection.faultKinds()).containsExactly(Kind.UNSOLICITED_DATA);
        assertThat(connection.faults().get(0).isInFlight()).isFalse();
        assertDelivered(200, "hello");
    }

    // Guards against a pool that gets a connection back with data that no request asked for.
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 2", "H", "\n", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n"})
    void dataInThePacketOfTheEndOfAResponseClosesItsConnectionAfterTheResponse(String data) {
        connection.send("1").receive(HELLO + data);
        assertDelivered(200, "hello");
        assertThat(connection.isReusable()).isFalse();
        assertThat(connection.isOpen()).isFalse();
        assertThat(connection.faultKinds()).containsExactly(Kind.UNSOLICITED_DATA);
    }

    @Test
    void dataBeforeTheFirstRequestClosesTheConnection() {
        connection.receive("HTTP/1.1 200 OK\r\nDa");
        assertThat(connection.isOpen()).isFalse();
        assertThat(connection.deliveries()).isEmpty();
        assertThat(connection.faultKinds()).containsExactly(Kind.UNSOLICITED_DATA);
    }

    @Test
    void aRequestIsNotSentOnAConnectionThatWasClosedForItsData() {
        connection.send("1").receive(HELLO + "H");
        assertThat(connection.trySend(HttpMethod.GET, "2").isSuccess()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhe"})
    void aRequestThatIsSentBeforeTheEndOfTheLastResponseFailsAndClosesTheConnection(String received) {
        connection.send("1").receive(received);
        ChannelFuture second = connection.trySend(HttpMethod.GET, "2");
        assertThat(second.isSuccess()).isFalse();
        assertThat(connection.isOpen()).isFalse();
        assertThat(connection.deliveries()).noneMatch(Delivery::isWhole);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Id: 1\\r\\nId: 1           | JOINED_HEADS",
                "Id: 1\\r\\nId: 2           | JOINED_HEADS",
                "Content-Length: 5\\r\\nContent-Length: 7 | INVALID_HEAD",
                "Content-Length: 5, 7       | INVALID_HEAD",
                "Content-Length: x          | INVALID_HEAD",
                "Content-Length: -5         | INVALID_HEAD",
                "Id: 1\\r\\nTransfer-Encoding: chunked\\r\\nTransfer-Encoding: chunked | JOINED_HEADS"
            })
    void aHeadThatStatesSeveralTimesWhatCanBeStatedOnceIsNotDelivered(String headers, Kind kind) {
        connection.send("1").receive("HTTP/1.1 200 OK\r\n" + headers.replace("\\r\\n", "\r\n") + "\r\n\r\nhello");
        assertThat(connection.deliveries()).isEmpty();
        assertRejected(kind);
    }

    // Guards against a body that is passed on undecoded, or ended too early, because its framing is not understood.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: any",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked;q=1",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding:",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5"
            })
    void aResponseOfAnUnknownFramingIsNotDelivered(String head) {
        connection.send("1").receive(head + "\r\nId: 1\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        assertThat(connection.deliveries()).isEmpty();
        assertRejected(Kind.UNKNOWN_FRAMING);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, any",
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked"
            })
    void aResponseWhoseTransferEncodingIsInvalidIsNotDelivered(String head) {
        connection.send("1").receive(head + "\r\nId: 1\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        assertThat(connection.deliveries()).isEmpty();
        assertRejected(Kind.INVALID_HEAD);
    }

    @ParameterizedTest
    @ValueSource(strings = {"chunked", "Chunked", "CHUNKED  "})
    void theNameOfATransferCodingIsRecognizedInAnyCase(String coding) {
        connection
                .send("1")
                .receive(
                        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: " + coding + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        assertDelivered(200, "hello");
    }

    @ParameterizedTest
    @ValueSource(strings = {"any", "chunked, chunked"})
    void aResponseToAnotherRequestWithAnUnknownFramingIsNotSkipped(String coding) {
        connection.send("1").receive("HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + HELLO);
        assertThat(connection.deliveries()).isEmpty();
        assertRejected(Kind.FOREIGN_RESPONSE);
    }

    @Test
    void twoLengthsOfTheSameValueAreNotDelivered() {
        connection.send("1").receive("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello");
        assertThat(connection.deliveries()).isEmpty();
        assertThat(connection.isOpen()).isFalse();
        assertThat(connection.errors())
                .hasOnlyElementsOfType(InvalidResponseException.class)
                .hasSize(1);
    }

    @Test
    void anUpgradeIsNotDelivered() {
        connection.send("1").receive("HTTP/1.1 101 Switching Protocols\r\nId: 1\r\nUpgrade: x\r\n\r\n");
        assertThat(connection.deliveries()).isEmpty();
        assertRejected(Kind.INVALID_HEAD);
    }

    // Guards against bytes that pass undecoded after an upgrade that another request asked for.
    @ParameterizedTest
    @ValueSource(strings = {"x", "websocket"})
    void anUpgradeForAnotherRequestDeliversNothingUndecoded(String protocol) {
        connection
                .send("1")
                .receive("HTTP/1.1 101 Switching Protocols\r\nId: 0\r\nUpgrade: " + protocol + "\r\n\r\n")
                .receive(HELLO);
        assertThat(connection.errors()).allMatch(InvalidResponseException.class::isInstance);
        assertThat(connection.deliveries()).allMatch(each -> each.body().equals("hello"));
        assertThat(connection.faultKinds()).isNotEmpty();
        assertThat(connection.isOpen()).isEqualTo(connection.errors().isEmpty());
    }

    // Guards against a body whose rest belongs to another response, on a connection that stays in use.
    @Test
    void aBodyThatIsCutInAChunkSizeIsReportedAsSomethingElseThanAnEarlyEnd() {
        connection
                .send("1")
                .receive("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
                .receive("HTTP/1.1 200 OK\r\nId: 2\r\n\r\n");
        assertThat(connection.faultKinds()).hasSize(1).doesNotContain(Kind.TRUNCATED_RESPONSE);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, WHOLE})
    void aHeadWithASecondStatusLineIsNotDelivered(int packetBytes) {
        connection.send("1").receive("HTTP/1.1 200 OK\r\nContent-Ty" + HELLO.replace("200", "500"), packetBytes);
        assertThat(connection.deliveries()).isEmpty();
        assertRejected(Kind.JOINED_HEADS);
    }

    @ParameterizedTest
    @ValueSource(strings = {"SSH-2.0\r\n", "hello", "0\r\n\r\n", "HTTP/1.1 200 OK\nId: 1\n\n", "{}"})
    void bytesThatAreNoHeadAreNotDelivered(String bytes) {
        connection.send("1").receive(bytes);
        assertThat(connection.deliveries()).isEmpty();
        assertRejected(Kind.INVALID_HEAD);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "H",
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n",
                "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r"
            })
    void aConnectionThatEndsInAHeadDeliversNothing(String beginning) {
        connection.send("1").receive(beginning).end();
        assertThat(connection.deliveries()).isEmpty();
        assertThat(connection.faultKinds()).containsExactly(Kind.TRUNCATED_RESPONSE);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\n\r\n",
                "Content-Length: 5\r\n\r\nhell",
                "Transfer-Encoding: chunked\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n5",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nhello",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: 1\r\n"
            })
    void aConnectionThatEndsInABodyDeliversNoEndOfIt(String rest) {
        connection.send("1").receive("HTTP/1.1 200 OK\r\nId: 1\r\n" + rest).end();
        assertThat(connection.deliveries()).hasSize(1).noneMatch(Delivery::isWhole);
        assertThat(connection.faultKinds()).containsExactly(Kind.TRUNCATED_RESPONSE);
    }

    // Guards against a truncated body that passes for a whole one.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "5\r\nhelloHTTP/1.1 200 OK\r\n\r\n",
                "5\r\nhello\r\nHTTP/1.1 200 OK\r\n\r\n",
                "5\r\nhello\r\nx\r\n\r\n"
            })
    void aBodyWithAnInvalidChunkIsNotWholeAndItsConnectionIsNotReused(String body) {
        connection.send("1").receive("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
        assertThat(connection.deliveries()).noneMatch(Delivery::isWhole);
        assertThat(connection.isReusable()).isFalse();
    }

    @Test
    void aConnectionThatEndsWhenIdleIsNoFault() {
        connection.send("1").receive(HELLO).end();
        assertThat(connection.faults()).isEmpty();
        assertThat(connection.errors()).isEmpty();
    }

    @Test
    void aFaultStatesTheRequestAndHowOftenTheConnectionWasUsed() {
        connection.send("1").receive(HELLO).send("2").receive("HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK");
        ResponseFault fault = connection.faults().get(0);
        assertThat(fault.requestId()).isEqualTo("2");
        assertThat(fault.exchange()).isEqualTo(2);
        assertThat(fault.isInFlight()).isTrue();
    }

    private Delivery assertDelivered(int status, String body) {
        assertThat(connection.errors()).isEmpty();
        assertThat(connection.deliveries()).hasSize(1);
        Delivery delivery = connection.deliveries().get(0);
        assertThat(delivery.isWhole()).isTrue();
        assertThat(delivery.status()).isEqualTo(status);
        assertThat(delivery.body()).isEqualTo(body);
        return delivery;
    }

    private void assertRejected(Kind kind) {
        assertThat(connection.isOpen()).isFalse();
        assertThat(connection.errors())
                .hasOnlyElementsOfType(InvalidResponseException.class)
                .hasSize(1);
        assertThat(connection.faultKinds()).containsExactly(kind);
    }
}
