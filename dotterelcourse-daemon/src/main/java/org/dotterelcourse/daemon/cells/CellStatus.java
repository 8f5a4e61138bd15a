package org.dotterelcourse.daemon.cells;

/**
 * A cell as this daemon sees it, for operators.
 *
 * @param cell its name
 * @param owner the owner's name, empty if nobody is alive
 * @param localMode whether this daemon's requests are granted by itself for want of an owner
 * @param asks this daemon's own asks and grants
 * @param waiting requests of the whole fleet that wait; 0 unless this daemon owns the cell
 * @param held asks and grants of the whole fleet; 0 unless this daemon owns the cell
 * @param workers its workers
 */
public record CellStatus(String cell, String owner, boolean localMode, int asks, int waiting, int held, int workers) {}
