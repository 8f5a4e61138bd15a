package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Describes an {@link EngineStandIn}. */
public final class EngineBuilder {
    private int port;
    private Duration step = Duration.ofMillis(4);
    private Duration perSequence = Duration.ofNanos(250_000);
    private Duration prefillToken = Duration.ofNanos(50_000);
    private int batchLimit = 16;
    private int waitingLimit = 32;
    private long kvTokens = 65_536;
    private int cacheBlocks = 2_048;
    private Duration cacheEventDelay = Duration.ofMillis(500);
    private double cacheEventLoss = 0.05;
    private Duration reportLag = Duration.ofMillis(500);
    private boolean fencing = true;
    private Duration loadTime = Duration.ofMillis(500);
    private String weightStore = "";
    private long seed = 1;
    private final List<EngineOrders.Model> models = new ArrayList<>();

    EngineBuilder() {}

    /**
     * The port to listen on.
     *
     * @param value a port, 0 for any free one (the default)
     * @return this
     */
    public EngineBuilder port(int value) {
        port = value;
        return this;
    }

    /**
     * How long steps take.
     *
     * @param base a decoding step of an empty batch, 4 ms by default
     * @param each what each sequence in the batch adds, 0.25 ms by default
     * @param prefill one uncached token of a prompt, 0.05 ms by default
     * @return this
     */
    public EngineBuilder times(Duration base, Duration each, Duration prefill) {
        step = base;
        perSequence = each;
        prefillToken = prefill;
        return this;
    }

    /**
     * How much it takes in; beyond that it answers 429.
     *
     * @param batch how many sequences run at once, 16 by default
     * @param waiting how many requests wait beyond that, 32 by default
     * @return this
     */
    public EngineBuilder limits(int batch, int waiting) {
        batchLimit = batch;
        waitingLimit = waiting;
        return this;
    }

    /**
     * The memory.
     *
     * @param tokens how many tokens count as a full KV cache, 65536 by default
     * @param prefixBlocks how many blocks of 16 tokens the prefix cache holds, 2048 by default
     * @return this
     */
    public EngineBuilder memory(long tokens, int prefixBlocks) {
        kvTokens = tokens;
        cacheBlocks = prefixBlocks;
        return this;
    }

    /**
     * How late and how incomplete cache events are.
     *
     * @param delay how late, 500 ms by default
     * @param loss the fraction lost, 0 to 1, 0.05 by default
     * @return this
     */
    public EngineBuilder cacheEvents(Duration delay, double loss) {
        cacheEventDelay = delay;
        cacheEventLoss = loss;
        return this;
    }

    /**
     * How old a load report is.
     *
     * @param value the lag, 500 ms by default
     * @return this
     */
    public EngineBuilder reportLag(Duration value) {
        reportLag = value;
        return this;
    }

    /**
     * Whether it refuses an order with an old fencing number.
     *
     * @param value true (the default) to refuse it
     * @return this
     */
    public EngineBuilder fencing(boolean value) {
        fencing = value;
        return this;
    }

    /**
     * Adds a model that is loaded at the start. An engine without any serves every model until its first order.
     *
     * @param model the name
     * @param version the version
     * @return this
     */
    public EngineBuilder model(String model, String version) {
        models.add(new EngineOrders.Model(model, version));
        return this;
    }

    /**
     * How loading goes.
     *
     * @param time how long it takes, 500 ms by default
     * @param store the address of the weight store that is asked first, empty (the default) for none
     * @return this
     */
    public EngineBuilder loading(Duration time, String store) {
        loadTime = time;
        weightStore = store;
        return this;
    }

    /**
     * The seed of the random choices.
     *
     * @param value the seed, 1 by default
     * @return this
     */
    public EngineBuilder seed(long value) {
        seed = value;
        return this;
    }

    /**
     * Makes the engine; it does not listen yet.
     *
     * @return the engine
     */
    public EngineStandIn build() {
        EngineLoop.Shape shape = new EngineLoop.Shape(
                step.toNanos(), perSequence.toNanos(), prefillToken.toNanos(), batchLimit, waitingLimit);
        return new EngineStandIn(new EngineOptions(
                port,
                shape,
                kvTokens,
                cacheBlocks,
                cacheEventDelay,
                cacheEventLoss,
                reportLag,
                fencing,
                List.copyOf(models),
                loadTime,
                weightStore,
                seed));
    }
}
