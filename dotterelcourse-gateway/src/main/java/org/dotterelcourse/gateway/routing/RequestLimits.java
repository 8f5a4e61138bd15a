package org.dotterelcourse.gateway.routing;

/**
 * What a client may send and how long it may take.
 *
 * @param maxBodyBytes largest request body
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record RequestLimits(int maxBodyBytes, long idleTimeoutMillis) {}
