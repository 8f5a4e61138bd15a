package org.dotterelcourse.daemon.cells;

/**
 * Status of a cell as seen by this daemon, shown to operators.
 *
 * @param cell the cell key
 * @param owner the name of the owner, empty if no daemon is alive
 * @param localMode whether this daemon grants its own requests locally because it cannot reach an owner
 * @param asks number of this daemon's own pending requests and grants
 * @param waiting number of requests of all daemons waiting in the cell's queue; 0 unless this daemon owns the cell
 * @param held number of pending requests and grants of all daemons; 0 unless this daemon owns the cell
 * @param workers number of workers in the cell
 */
public record CellStatus(String cell, String owner, boolean localMode, int asks, int waiting, int held, int workers) {}
