package org.dotterelcourse.gateway.forward;

import java.util.List;
import java.util.Optional;

import org.dotterelcourse.policy.resumption.KeptPartEvidence;
import org.dotterelcourse.policy.resumption.StreamKey;
import org.dotterelcourse.policy.resumption.StreamVersionNotice;
import org.dotterelcourse.policy.resumption.StreamVersionProof;
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
        public Mono<Optional<StreamVersionProof>> ask(StreamKey stream, String upstream) {
            return Mono.just(Optional.empty());
        }

        @Override
        public Mono<KeptPartEvidence.Verdict> surveyPart(StreamKey part, String upstream, long limitMillis) {
            return Mono.just(KeptPartEvidence.conclude(Optional.empty(), List.of()));
        }

        @Override
        public Mono<Boolean> confirmPublished() {
            return Mono.just(true);
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
     * @param stream key of the stream; {@link StreamKey#NONE} if the client does not name it
     * @param upstream name of its upstream
     * @return the version and its proof; empty if nothing known to this process and its peers proves it
     */
    Mono<Optional<StreamVersionProof>> ask(StreamKey stream, String upstream);

    /**
     * Determines from what the workers of an upstream keep at which version a stream began. All processes read a part of the
     * workers for it, unless they have done so just before.
     *
     * @param part key of the part of the prompt that belongs to the stream's request, or to its session
     * @param upstream name of the upstream
     * @param limitMillis time in milliseconds after which an incomplete conclusion is returned
     * @return the conclusion
     */
    Mono<KeptPartEvidence.Verdict> surveyPart(StreamKey part, String upstream, long limitMillis);

    /**
     * Asks the store for the changes that this process does not know yet, and applies them.
     *
     * @return whether all that was published until this call is known now; false if the store does not answer
     */
    Mono<Boolean> confirmPublished();
}
