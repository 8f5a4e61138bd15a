package org.dotterelcourse.standins;

/**
 * What an engine did for one request id.
 *
 * @param accepted how often it took the request in
 * @param started how often it began to work on it
 * @param generated how many tokens it generated
 * @param wasted how many of these went to a connection that was cancelled or lost
 */
public record RequestCount(int accepted, int started, long generated, long wasted) {
    /**
     * The sum with what another engine did.
     *
     * @param other the other's count
     * @return the sum
     */
    public RequestCount plus(RequestCount other) {
        return new RequestCount(
                accepted + other.accepted, started + other.started, generated + other.generated, wasted + other.wasted);
    }
}
