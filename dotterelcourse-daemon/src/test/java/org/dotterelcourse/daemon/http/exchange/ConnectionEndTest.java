package org.dotterelcourse.daemon.http.exchange;

import java.util.List;
import java.util.function.UnaryOperator;

import org.dotterelcourse.daemon.http.exchange.CodecFixture.Delivery;
import org.dotterelcourse.daemon.http.exchange.ResponseFault.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which responses are whole when their connection ends or fails, also while the request is still being written. */
class ConnectionEndTest {
    private static final String HELLO = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello";

    private final CodecFixture connection = new CodecFixture();

    // Guards against the beginning of a body that passes for a whole one because its connection failed.
    @Test
    void aResponseWithoutFramingIsNotWholeAfterAResetOrAClosedConnection() {
        String beginning = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhel";
        for (UnaryOperator<CodecFixture> failure :
                List.<UnaryOperator<CodecFixture>>of(CodecFixture::reset, CodecFixture::breakOff)) {
            CodecFixture failing = new CodecFixture();
            failure.apply(failing.send("1").receive(beginning));
            assertThat(failing.deliveries()).hasSize(1).noneMatch(Delivery::isWhole);
            assertThat(failing.faultKinds()).containsExactly(Kind.TRUNCATED_RESPONSE);
            assertThat(failing.isOpen()).isFalse();
        }
    }

    // Guards against a reset that a write meets first, after which no read sees it.
    @Test
    void aResponseWithoutFramingIsNotWholeWhenItsRequestCanNotBeWritten() {
        connection
                .beginRequest("1")
                .receive("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhel")
                .failRequest();
        assertThat(connection.deliveries()).hasSize(1).noneMatch(Delivery::isWhole);
        assertFailed();
    }

    @Test
    void aResponseThatItsServerEndsBeforeTheRequestIsWrittenIsWholeOnceThatIsWritten() {
        connection
                .beginRequest("1")
                .receive("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello")
                .end();
        assertThat(connection.deliveries()).hasSize(1).noneMatch(Delivery::isWhole);
        assertThat(connection.isOpen()).isTrue();
        connection.flushRequest();
        assertDelivered("hello");
        assertThat(connection.isOpen()).isFalse();
    }

    @Test
    void aResponseThatItsServerEndsBeforeTheRequestIsWrittenIsNotWholeIfThatFails() {
        connection
                .beginRequest("1")
                .receive("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhel")
                .end()
                .failRequest();
        assertThat(connection.deliveries()).hasSize(1).noneMatch(Delivery::isWhole);
        assertFailed();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"})
    void aResponseThatIsCompleteByItsOwnFramingStaysWholeWhenItsRequestCanNotBeWritten(String rest) {
        connection
                .beginRequest("1")
                .receive("HTTP/1.1 200 OK\r\nId: 1\r\n" + rest)
                .failRequest();
        assertDelivered("hello");
        assertThat(connection.faults()).isEmpty();
    }

    // Guards against a request that is sent behind one that its server may never read to its end.
    @Test
    void aConnectionIsNotReusableWhenAResponseEndsBeforeItsRequestIsWritten() {
        connection.beginRequest("1").receive(HELLO);
        assertDelivered("hello");
        assertThat(connection.isReusable()).isFalse();
    }

    @Test
    void anIdleConnectionIsClosedWhenItsServerEndsIt() {
        connection.send("1").receive(HELLO).end();
        assertThat(connection.isOpen()).isFalse();
    }

    private void assertDelivered(String body) {
        assertThat(connection.errors()).isEmpty();
        assertThat(connection.deliveries()).hasSize(1).allMatch(Delivery::isWhole);
        assertThat(connection.deliveries().get(0).body()).isEqualTo(body);
    }

    private void assertFailed() {
        assertThat(connection.isOpen()).isFalse();
        assertThat(connection.errors())
                .hasOnlyElementsOfType(InvalidResponseException.class)
                .hasSize(1);
        assertThat(connection.faultKinds()).containsExactly(Kind.TRUNCATED_RESPONSE);
    }
}
