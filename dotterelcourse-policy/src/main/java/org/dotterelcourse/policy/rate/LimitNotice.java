package org.dotterelcourse.policy.rate;

import java.util.OptionalDouble;

/**
 * Notice of a worker's request rate limit, exchanged between the processes of a fleet. Carries an age instead of a
 * time, because the clocks of processes differ.
 *
 * @param worker the incarnation of the worker, which identifies one start of it
 * @param perSecond requests per second that the worker accepts from all processes together; empty if it no longer
 *     sets a limit
 * @param agoMillis age of the worker's statement in milliseconds
 */
public record LimitNotice(int worker, OptionalDouble perSecond, long agoMillis) {}
