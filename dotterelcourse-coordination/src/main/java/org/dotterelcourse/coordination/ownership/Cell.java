package org.dotterelcourse.coordination.ownership;

import java.util.List;

/**
 * A group of workers with one queue.
 *
 * @param id the cell's name
 * @param workers names of its workers, sorted
 */
public record Cell(CellId id, List<String> workers) {}
