package org.dotterelcourse.policy.line;

/**
 * One request in the line.
 *
 * @param item what the line's owner knows it by
 * @param priority urgency, 0 the highest
 * @param customer whose it is
 * @param arrivalNanos when it came
 * @param onTimeUntilNanos until when it can still be placed and be on time
 * @param inTimeUntilNanos until when it can still be placed and end before its client gives up
 * @param <T> the type of what it is known by
 */
public record PendingRequest<T>(
        T item, int priority, String customer, long arrivalNanos, long onTimeUntilNanos, long inTimeUntilNanos) {}
