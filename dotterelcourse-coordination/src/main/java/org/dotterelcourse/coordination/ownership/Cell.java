package org.dotterelcourse.coordination.ownership;

import java.util.List;

/**
 * A group of workers that share one queue and one owner.
 *
 * @param id the cell's identity
 * @param workers names of the workers, sorted
 */
public record Cell(CellId id, List<String> workers) {}
