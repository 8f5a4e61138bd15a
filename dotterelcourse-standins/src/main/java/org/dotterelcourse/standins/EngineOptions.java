package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.List;

/**
 * What an engine is like.
 *
 * @param port the port to listen on, 0 for any free one
 * @param shape how long its steps take and how much fits
 * @param kvTokens how many tokens its KV cache holds
 * @param cacheBlocks how many blocks of 16 tokens its prefix cache holds
 * @param cacheEventDelay how late a cache event is shown
 * @param cacheEventLoss the fraction of cache events that is lost
 * @param reportLag how old a load report is
 * @param fencing whether it refuses an order with an old fencing number
 * @param models what it has loaded at the start
 * @param loadTime how long loading takes
 * @param weightStore the weight store's address, empty for none
 * @param seed the seed of its random choices
 */
record EngineOptions(
        int port,
        EngineLoop.Shape shape,
        long kvTokens,
        int cacheBlocks,
        Duration cacheEventDelay,
        double cacheEventLoss,
        Duration reportLag,
        boolean fencing,
        List<EngineOrders.Model> models,
        Duration loadTime,
        String weightStore,
        long seed) {}
