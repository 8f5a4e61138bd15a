package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.configuration.RequestClass;

/**
 * A checked call to a plain service on its way.
 *
 * @param id the request's id
 * @param customer the customer's name
 * @param requestClass its class
 * @param method the HTTP method
 * @param path path and query at the service, with the leading slash
 * @param contentType the body's type
 * @param body the whole body
 * @param arrivalNanos when the daemon took it
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
