package org.dotterelcourse.tool;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.resolver.NoopAddressResolverGroup;
import reactor.core.publisher.Mono;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/** Calls the operators' interface of daemons. */
final class DaemonClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient http = HttpClient.newConnection()
            .resolver(NoopAddressResolverGroup.INSTANCE)
            .doOnChannelInit((observer, channel, address) ->
                    channel.pipeline().addAfter(NettyPipeline.HttpCodec, ResponseCheck.NAME, new ResponseCheck()))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .responseTimeout(ANSWER_TIMEOUT);

    /**
     * Calls a daemon and waits for the answer.
     *
     * @param method the method
     * @param daemon its IP number and port
     * @param path the path with its query
     * @return the answer, whatever its status
     */
    DaemonAnswer call(HttpMethod method, String daemon, String path) {
        int colon = daemon.lastIndexOf(':');
        String host = daemon.substring(0, colon).replaceAll("[\\[\\]]", "");
        int port = Integer.parseInt(daemon.substring(colon + 1));
        Mono<DaemonAnswer> answer = http.remoteAddress(() -> new InetSocketAddress(host, port))
                .request(method)
                .uri(path)
                .responseSingle((response, body) -> body.asString(StandardCharsets.UTF_8)
                        .defaultIfEmpty("")
                        .map(text -> new DaemonAnswer.Answered(response.status().code(), text)));
        return answer.timeout(ANSWER_TIMEOUT)
                .onErrorResume(error -> Mono.just(new DaemonAnswer.Unreachable(reason(error))))
                .block();
    }

    private static String reason(Throwable error) {
        if (error instanceof java.util.concurrent.TimeoutException
                || error instanceof io.netty.handler.timeout.TimeoutException) {
            return "no answer within " + ANSWER_TIMEOUT.toSeconds() + " s";
        }
        return error.getMessage() == null ? error.toString() : error.getMessage();
    }
}
