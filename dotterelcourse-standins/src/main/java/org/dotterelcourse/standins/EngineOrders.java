package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.netty.http.client.HttpClient;

/**
 * What an engine was ordered to serve. A load takes time and goes on after the order was answered; what is loaded shows
 * in the load report. Safe for use by several threads.
 */
final class EngineOrders {
    /**
     * A loaded model.
     *
     * @param model its name
     * @param version its version
     */
    record Model(String model, String version) {}

    private static final int MAX_LOAD_ATTEMPTS = 20;
    private static final int TOO_MANY = 429;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final boolean fencing;
    private final long loadNanos;
    private final String weightStore;
    private final Set<Model> models;
    private final Set<Model> loading = new LinkedHashSet<>();
    private long fence;
    private long accepted;
    private String role = "mixed";

    EngineOrders(boolean fencing, Duration loadTime, String weightStore, List<Model> models) {
        this.fencing = fencing;
        this.loadNanos = loadTime.toNanos();
        this.weightStore = weightStore;
        this.models = new LinkedHashSet<>(models);
    }

    /** Takes an order; false when its fencing number is old. */
    synchronized boolean order(JsonNode body) {
        long number = body.path("fence").asLong();
        if (fencing && number < fence) {
            return false;
        }
        fence = Math.max(fence, number);
        Model model =
                new Model(body.path("model").asText(""), body.path("version").asText(""));
        switch (body.path("action").asText("")) {
            case "load" -> load(model);
            case "unload" -> {
                loading.remove(model);
                models.remove(model);
            }
            case "role" -> {
                role = body.path("role").asText(role);
            }
            default -> throw new IllegalArgumentException("action is one of load, unload, role");
        }
        accepted++;
        return true;
    }

    synchronized long fence() {
        return fence;
    }

    synchronized long accepted() {
        return accepted;
    }

    synchronized String role() {
        return role;
    }

    synchronized List<Model> models() {
        return new ArrayList<>(models);
    }

    /** Whether it serves a model. An engine that no model was ever named for serves any. */
    synchronized boolean serves(String name) {
        return name.isEmpty()
                || (models.isEmpty() && accepted == 0)
                || models.stream().anyMatch(each -> each.model().equals(name));
    }

    private void load(Model model) {
        if (models.contains(model) || !loading.add(model)) {
            return;
        }
        Timers.after(0, () -> fetch(model, 1));
    }

    private void fetch(Model model, int attempt) {
        if (weightStore.isEmpty()) {
            Timers.after(loadNanos, () -> loaded(model));
            return;
        }
        HttpClient.newConnection()
                .get()
                .uri("http://" + weightStore + "/v1/weights/" + model.model() + "/" + model.version())
                .response()
                .subscribe(
                        response -> {
                            if (response.status().code() == TOO_MANY) {
                                again(model, attempt, response.responseHeaders().getInt("Retry-After", 1));
                            } else if (response.status().code() == 200) {
                                Timers.after(loadNanos, () -> loaded(model));
                            } else {
                                failed(model);
                            }
                        },
                        error -> again(model, attempt, 1));
    }

    private void again(Model model, int attempt, int seconds) {
        if (attempt >= MAX_LOAD_ATTEMPTS) {
            failed(model);
        } else {
            Timers.after(seconds * NANOS_PER_SECOND, () -> fetch(model, attempt + 1));
        }
    }

    private synchronized void loaded(Model model) {
        if (loading.remove(model)) {
            models.add(model);
        }
    }

    private synchronized void failed(Model model) {
        loading.remove(model);
    }
}
