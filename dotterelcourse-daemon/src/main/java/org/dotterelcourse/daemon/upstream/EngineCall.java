package org.dotterelcourse.daemon.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One attempt to run a chat completion on one worker.
 *
 * @param address the worker's address as {@code IP:port}
 * @param requestId the request's identifier, sent to the worker in the {@code X-Request-Id} header
 * @param body the chat completion as the client sent it; it is copied, never modified
 * @param model the name of the requested model
 * @param version the preferred version of the model; a worker that has not loaded it uses another version of the
 *     same model
 * @param maxTokens the maximum length of the whole answer in tokens, including the resumed part
 * @param priority the request's priority at the engine; 0 is the highest
 * @param resumedText the part of the answer that an earlier attempt produced; empty if the request is not resumed
 * @param resumedTokens the length of {@code resumedText} in tokens; 0 if the request is not resumed
 */
public record EngineCall(
        String address,
        String requestId,
        ObjectNode body,
        String model,
        String version,
        int maxTokens,
        int priority,
        String resumedText,
        int resumedTokens) {}
