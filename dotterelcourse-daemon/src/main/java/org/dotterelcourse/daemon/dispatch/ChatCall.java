package org.dotterelcourse.daemon.dispatch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dotterelcourse.configuration.RequestClass;

/**
 * A checked chat completion on its way.
 *
 * @param id the request's id
 * @param customer the customer's name
 * @param requestClass its class
 * @param body the caller's JSON
 * @param maxTokens the most tokens the answer may have
 * @param inputTokens the estimated length of the prompt
 * @param prefix fingerprint of the prompt's start, 0 for none
 * @param arrivalNanos when the daemon took it
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
