package org.dotterelcourse.daemon.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One try of a chat completion at one worker.
 *
 * @param address the worker's IP number and port
 * @param requestId passed on to the worker
 * @param body the caller's chat completion; not changed
 * @param model the model to ask for
 * @param version the version to use where the worker has it loaded; else it uses another of the model
 * @param maxTokens the most tokens the whole answer may have
 * @param priority 0 is the most urgent
 * @param resumedText the answer so far, empty for a fresh one
 * @param resumedTokens its length in tokens
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
