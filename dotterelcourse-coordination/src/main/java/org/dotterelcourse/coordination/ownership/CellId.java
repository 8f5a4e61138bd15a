package org.dotterelcourse.coordination.ownership;

/**
 * Names a cell.
 *
 * @param upstream the upstream's name
 * @param region the region of its workers
 * @param index the cell's number in that upstream and region, from 0
 */
public record CellId(String upstream, String region, int index) {

    /**
     * The cell's key for hashing and on the wire.
     *
     * @return upstream, region and index with slashes between
     */
    public String key() {
        return upstream + "/" + region + "/" + index;
    }
}
