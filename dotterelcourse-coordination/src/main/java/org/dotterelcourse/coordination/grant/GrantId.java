package org.dotterelcourse.coordination.grant;

/**
 * Identifier of a grant, unique across all owners and clients of a cell.
 *
 * @param term random number that each owner draws when it takes over the cell, and each client for the grants of its
 *     local mode
 * @param number unique and increasing within the term
 */
public record GrantId(long term, long number) {}
