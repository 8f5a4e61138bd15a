package org.dotterelcourse.policy.rate;

import java.util.OptionalDouble;

/**
 * What a worker said of the requests that it takes, as processes tell each other.
 *
 * @param worker its incarnation
 * @param perSecond requests a second that it takes from all processes, empty if it no longer names a limit
 * @param agoMillis how long ago it said so
 */
public record LimitNotice(int worker, OptionalDouble perSecond, long agoMillis) {}
