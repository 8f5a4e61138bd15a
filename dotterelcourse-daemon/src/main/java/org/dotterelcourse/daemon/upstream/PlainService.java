package org.dotterelcourse.daemon.upstream;

import reactor.core.publisher.Mono;

/** Client of the plain services, which are the upstream workers that are not model engines. */
public interface PlainService {
    /**
     * Sends one call and never retries it. Cancelling the subscription closes the connection.
     *
     * @param call the worker's address and the request
     * @return the response or the failure, always exactly one value; the call is sent on subscription
     */
    Mono<ServiceReply> call(ServiceCall call);
}
