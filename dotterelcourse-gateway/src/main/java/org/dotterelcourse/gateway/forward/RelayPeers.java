package org.dotterelcourse.gateway.forward;

import java.util.Optional;
import java.util.Set;

/** The peers that can send on requests while this process has no link to the workers. */
public interface RelayPeers {
    /**
     * Returns the name of this process.
     *
     * @return the name by which peers know it
     */
    String self();

    /**
     * Selects a peer that is alive, reaches workers and accepts relayed requests.
     *
     * @param excluded names of peers that are not to be used, since they have not served the request
     * @return the peer; empty if there is none, or if the request has been refused by some and all others have refused
     *     another one just before
     */
    Optional<RelayTarget> select(Set<String> excluded);

    /**
     * Records that a peer has not sent a relayed request to a worker, because it is cut off itself, overloaded, about to
     * end or not reached. Others are preferred to it for a moment.
     *
     * @param peer name of the peer
     */
    void recordRefusal(String peer);

    /**
     * Records that a request is relayed to a peer.
     *
     * @param peer name of the peer
     */
    void recordBegin(String peer);

    /**
     * Records that a peer has begun to answer a relayed request, or that the request has ended without that.
     *
     * @param peer name of the peer
     */
    void recordEnd(String peer);
}
