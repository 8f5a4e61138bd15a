package org.dotterelcourse.gateway.forward;

import java.util.Optional;

import org.dotterelcourse.policy.resumption.StreamKey;
import org.dotterelcourse.policy.resumption.StreamVersionNotice;
import reactor.core.publisher.Mono;

/** The peers that remember the software versions of streams, for clients that resume a stream at another process. */
public interface StreamVersionPeers {
    /** No peers. */
    StreamVersionPeers NONE = new StreamVersionPeers() {
        @Override
        public void announce(String upstream, StreamVersionNotice notice) {
            // Nobody to tell.
        }

        @Override
        public Mono<Optional<String>> ask(StreamKey stream, String upstream) {
            return Mono.just(Optional.empty());
        }
    };

    /**
     * Tells peers the software version of a stream, without confirmation, as soon as its upstream has several versions.
     *
     * @param upstream name of the stream's upstream
     * @param notice the version of the worker that has the stream's request
     */
    void announce(String upstream, StreamVersionNotice notice);

    /**
     * Asks peers for the software version of a stream.
     *
     * @param stream key of the stream
     * @param upstream name of its upstream
     * @return the version, empty if it is unknown; empty if no peer knows the stream in time
     */
    Mono<Optional<String>> ask(StreamKey stream, String upstream);
}
