package org.dotterelcourse.daemon.dispatch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dotterelcourse.configuration.RequestClass;

/**
 * A validated chat completion call.
 *
 * @param id the request id
 * @param customer the name of the customer
 * @param requestClass the request class of the call
 * @param body the JSON body sent by the caller
 * @param maxTokens maximum length of the answer in tokens
 * @param inputTokens estimated length of the prompt in tokens
 * @param prefix fingerprint of the prompt prefix, 0 for none
 * @param arrivalNanos arrival time at the daemon, in nanoseconds of the monotonic clock
 */
public record ChatCall(
        String id,
        String customer,
        RequestClass requestClass,
        ObjectNode body,
        int maxTokens,
        int inputTokens,
        long prefix,
        long arrivalNanos) {}
