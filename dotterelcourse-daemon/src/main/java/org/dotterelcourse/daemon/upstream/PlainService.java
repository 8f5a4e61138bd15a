package org.dotterelcourse.daemon.upstream;

import reactor.core.publisher.Mono;

/** A plain service. */
public interface PlainService {
    /**
     * Calls it once; it is never called again for the same subscription. Cancelling closes the connection.
     *
     * @param call what to send and where
     * @return how it ended, always one value
     */
    Mono<ServiceReply> call(ServiceCall call);
}
