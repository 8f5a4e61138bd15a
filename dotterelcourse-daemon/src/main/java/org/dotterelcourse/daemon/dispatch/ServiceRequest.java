package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.configuration.RequestClass;

/**
 * A validated call to a plain service.
 *
 * @param id the request id
 * @param customer the name of the customer
 * @param requestClass the request class of the call
 * @param method the HTTP method
 * @param path path and query at the service, with a leading slash
 * @param contentType the content type of the body
 * @param body the complete body
 * @param arrivalNanos arrival time at the daemon, in nanoseconds of the monotonic clock
 */
public record ServiceRequest(
        String id,
        String customer,
        RequestClass requestClass,
        String method,
        String path,
        String contentType,
        byte[] body,
        long arrivalNanos) {}
