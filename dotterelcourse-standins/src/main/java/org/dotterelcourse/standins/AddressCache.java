package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Which daemons a customer uses: asks {@code GET /v1/addresses}, keeps the answer for its time to live and picks by
 * weight. When no daemon tells, the last answer stays in use. Safe for use by several threads.
 */
final class AddressCache {
    private static final Duration LIMIT = Duration.ofSeconds(3);
    private static final long RETRY_NANOS = 200_000_000L;
    private static final int TRIED = 4;

    private record Weighted(String address, int weight) {}

    private record Kept(List<Weighted> addresses, long untilNanos) {}

    private final HttpClient client;
    private final List<String> seeds;
    private final SplittableRandom random;
    private final Map<String, Kept> byKey = new HashMap<>();
    private final Map<String, Mono<Kept>> asking = new HashMap<>();

    AddressCache(HttpClient client, List<String> seeds, long seed) {
        this.client = client;
        this.seeds = seeds;
        this.random = new SplittableRandom(seed);
    }

    /** The addresses to try one after the other: the first by weight, then the others. */
    Mono<List<String>> addresses(String key) {
        return kept(key).map(this::inOrder);
    }

    private synchronized Mono<Kept> kept(String key) {
        Kept kept = byKey.get(key);
        if (kept != null && kept.untilNanos - System.nanoTime() > 0) {
            return Mono.just(kept);
        }
        return asking.computeIfAbsent(
                key,
                missing -> ask(key, kept).doOnNext(fresh -> keep(key, fresh)).cache());
    }

    private synchronized void keep(String key, Kept fresh) {
        byKey.put(key, fresh);
        asking.remove(key);
    }

    private Mono<Kept> ask(String key, Kept old) {
        List<String> known = new ArrayList<>();
        if (old != null) {
            known.addAll(inOrder(old));
        }
        known.addAll(shuffled(seeds));
        Kept otherwise = new Kept(
                old == null ? seeds.stream().map(each -> new Weighted(each, 1)).toList() : old.addresses,
                System.nanoTime() + RETRY_NANOS);
        return Flux.fromIterable(known.subList(0, Math.min(TRIED, known.size())))
                .concatMap(each -> askOne(each, key))
                .next()
                .onErrorResume(error -> Mono.empty())
                .defaultIfEmpty(otherwise);
    }

    private Mono<Kept> askOne(String address, String key) {
        return client.headers(headers -> headers.set("Authorization", "Bearer " + key))
                .get()
                .uri("http://" + address + "/v1/addresses")
                .responseSingle(
                        (response, body) -> response.status().code() == 200 ? body.asString() : Mono.<String>empty())
                .timeout(LIMIT)
                .flatMap(text -> Mono.justOrEmpty(parse(Json.parse(text))))
                .onErrorResume(error -> Mono.empty());
    }

    private static Kept parse(JsonNode answer) {
        List<Weighted> addresses = new ArrayList<>();
        for (JsonNode each : answer.path("addresses")) {
            String address = each.path("address").asText();
            Loopback.parse(address);
            addresses.add(new Weighted(address, Math.max(1, each.path("weight").asInt(1))));
        }
        long live =
                Duration.ofSeconds(answer.path("timeToLiveSeconds").asLong(1)).toNanos();
        return addresses.isEmpty() ? null : new Kept(addresses, System.nanoTime() + live);
    }

    private synchronized List<String> inOrder(Kept kept) {
        List<Weighted> left = new ArrayList<>(kept.addresses);
        List<String> order = new ArrayList<>();
        while (!left.isEmpty()) {
            int draw = random.nextInt(left.stream().mapToInt(Weighted::weight).sum());
            int next = 0;
            while (draw >= left.get(next).weight) {
                draw -= left.get(next).weight;
                next++;
            }
            order.add(left.remove(next).address);
        }
        return order;
    }

    private synchronized List<String> shuffled(List<String> addresses) {
        List<String> shuffled = new ArrayList<>(addresses);
        for (int i = shuffled.size() - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            String moved = shuffled.get(i);
            shuffled.set(i, shuffled.get(other));
            shuffled.set(other, moved);
        }
        return shuffled;
    }
}
