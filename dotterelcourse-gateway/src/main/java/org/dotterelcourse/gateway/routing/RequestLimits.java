package org.dotterelcourse.gateway.routing;

/**
 * Limits on the requests of clients.
 *
 * @param maxBodyBytes largest size of a request body in bytes
 */
public record RequestLimits(int maxBodyBytes) {}
