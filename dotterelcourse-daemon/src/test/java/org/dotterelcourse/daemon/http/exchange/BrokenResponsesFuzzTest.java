package org.dotterelcourse.daemon.http.exchange;

import java.util.List;

import io.netty.handler.codec.http.HttpMethod;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.dotterelcourse.daemon.http.exchange.CodecFixture.Delivery;
import org.dotterelcourse.daemon.http.exchange.RandomResponses.Response;

import static org.assertj.core.api.Assertions.assertThat;

/** Fuzz tests of the codec with random responses that are made invalid in one place, or whose connection fails. */
class BrokenResponsesFuzzTest {
    private static final String ID = "own";

    /** What makes a response invalid. */
    enum Fault {
        STATUS,
        VERSION,
        CODING,
        SECOND_CODING,
        BLANK_IN_NAME,
        CONTROL_BYTE_IN_NAME,
        TRAILER
    }

    /** How a connection fails. */
    enum Failure {
        RESET,
        CLOSED,
        WRITE_FAILED,
        WRITE_FAILED_AFTER_THE_END
    }

    @Provide
    Arbitrary<Response> responses() {
        return RandomResponses.responses();
    }

    @Provide
    Arbitrary<List<Integer>> packets() {
        return RandomResponses.packetBytes();
    }

    @Provide
    Arbitrary<Integer> invalidStatuses() {
        return Arbitraries.oneOf(
                Arbitraries.integers().between(0, 99), Arbitraries.integers().between(600, 999));
    }

    // Guards against a response that is delivered although one place of it is not valid.
    @Property(tries = 4_000, seed = "20261208", shrinking = ShrinkingMode.BOUNDED)
    void aResponseWithAnInvalidPlaceIsNeverWhole(
            @ForAll("responses") Response response,
            @ForAll Fault fault,
            @ForAll("invalidStatuses") int status,
            @ForAll("packets") List<Integer> packets) {
        CodecFixture connection = new CodecFixture().send(HttpMethod.GET, ID);
        receive(connection, invalid(response, fault, status), packets);
        connection.end();
        assertThat(connection.deliveries()).noneMatch(Delivery::isWhole);
        assertThat(connection.isOpen()).isFalse();
        assertThat(connection.faults()).isNotEmpty();
    }

    // Guards against a part of a body without a length that passes for a whole one, whichever side notices the failure
    // first.
    @Property(tries = 4_000, seed = "20261209", shrinking = ShrinkingMode.BOUNDED)
    void aBodyWithoutALengthIsNeverWholeAfterAFailure(
            @ForAll("responses") Response response, @ForAll Failure failure, @ForAll("packets") List<Integer> packets) {
        CodecFixture connection = new CodecFixture();
        boolean isPending = failure == Failure.WRITE_FAILED || failure == Failure.WRITE_FAILED_AFTER_THE_END;
        if (isPending) {
            connection.beginRequest(ID);
        } else {
            connection.send(HttpMethod.POST, ID);
        }
        receive(connection, "HTTP/1.1 200 OK\r\nId: " + ID + "\r\n\r\n" + response.body(), packets);
        switch (failure) {
            case RESET -> connection.reset();
            case CLOSED -> connection.breakOff();
            case WRITE_FAILED -> connection.failRequest();
            default -> connection.end().failRequest();
        }
        assertThat(connection.deliveries()).hasSize(1).noneMatch(Delivery::isWhole);
        assertThat(connection.faultKinds()).containsExactly(ResponseFault.Kind.TRUNCATED_RESPONSE);
    }

    private static String invalid(Response response, Fault fault, int status) {
        String begin = "HTTP/1.1 ";
        String id = "Id: " + ID + "\r\n";
        String fields = response.fields().stream()
                .map(field -> field.name() + ":" + field.value() + "\r\n")
                .reduce("", String::concat);
        String length = "Content-Length: " + response.body().length() + "\r\n\r\n" + response.body();
        String chunks = "\r\n1\r\nx\r\n0\r\n";
        return switch (fault) {
            case STATUS -> begin + String.format("%03d Any\r\n", status) + id + fields + length;
            case VERSION -> "HTTP/" + (status % 10 == 1 ? 2 : status % 10) + ".1 200 OK\r\n" + id + fields + length;
            case CODING -> begin + "200 OK\r\n" + id + fields + "Transfer-Encoding: any\r\n" + chunks + "\r\n";
            case SECOND_CODING ->
                begin + "200 OK\r\n" + id + fields + "Transfer-Encoding: chunked, chunked\r\n" + chunks + "\r\n";
            case BLANK_IN_NAME -> begin + "200 OK\r\n" + id + "X Y: 1\r\n" + fields + length;
            case CONTROL_BYTE_IN_NAME -> begin + "200 OK\r\n" + id + "X\0Y: 1\r\n" + fields + length;
            default ->
                begin + "200 OK\r\n" + id + fields + "Transfer-Encoding: chunked\r\n" + chunks + "X Y: 1\r\n\r\n";
        };
    }

    /** Receives bytes in packets of the given sizes, from the first again after the last. */
    private static void receive(CodecFixture connection, String bytes, List<Integer> packetBytes) {
        int start = 0;
        for (int i = 0; start < bytes.length(); i++) {
            int length = Math.min(packetBytes.get(i % packetBytes.size()), bytes.length() - start);
            connection.receive(bytes.substring(start, start + length));
            start += length;
        }
    }
}
