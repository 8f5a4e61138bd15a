package org.dotterelcourse.coordination.grant;

/**
 * Names one grant for as long as anybody remembers it.
 *
 * @param term drawn at random by each owner when it takes over, and by each asker for its local mode
 * @param number unique and rising within the term
 */
public record GrantId(long term, long number) {}
