package org.dotterelcourse.gateway.routing;

/**
 * What a client may send.
 *
 * @param maxBodyBytes largest request body
 */
public record RequestLimits(int maxBodyBytes) {}
