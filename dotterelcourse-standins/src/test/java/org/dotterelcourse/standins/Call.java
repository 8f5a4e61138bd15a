package org.dotterelcourse.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Calls to a stand-in, made with another HTTP library than the stand-ins use. */
final class Call {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final Duration LIMIT = Duration.ofSeconds(20);

    private Call() {}

    static HttpResponse<String> get(String address, String path) {
        return send(request(address, path).GET().build());
    }

    static HttpResponse<String> post(String address, String path, String body, String... headers) {
        return send(postRequest(address, path, body, headers));
    }

    static CompletableFuture<HttpResponse<String>> postAsync(
            String address, String path, String body, String... headers) {
        return CLIENT.sendAsync(postRequest(address, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    static ObjectNode chat(String content, int maxTokens) {
        ObjectNode body = Json.object().put("stream", true).put("max_tokens", maxTokens);
        body.putArray("messages").addObject().put("role", "user").put("content", content);
        return body;
    }

    /** The text of a streamed answer; fails if the stream has no end. */
    static String streamed(String events) {
        StringBuilder text = new StringBuilder();
        boolean done = false;
        for (String line : events.split("\n")) {
            if (line.equals("data: [DONE]")) {
                done = true;
            } else if (line.startsWith("data: ")) {
                JsonNode choice = Json.parse(line.substring(6)).path("choices").path(0);
                text.append(choice.path("delta").path("content").asText(""));
            }
        }
        if (!done) {
            throw new AssertionError("the stream has no end: " + events);
        }
        return text.toString();
    }

    private static HttpRequest postRequest(String address, String path, String body, String... headers) {
        HttpRequest.Builder builder = request(address, path).POST(HttpRequest.BodyPublishers.ofString(body));
        return headers.length == 0 ? builder.build() : builder.headers(headers).build();
    }

    private static HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(LIMIT);
    }

    private static HttpResponse<String> send(HttpRequest request) {
        try {
            return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
