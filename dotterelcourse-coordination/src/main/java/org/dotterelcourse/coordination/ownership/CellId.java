package org.dotterelcourse.coordination.ownership;

/**
 * Identifies a cell.
 *
 * @param upstream the upstream's name
 * @param region the region of the cell's workers
 * @param index the cell's index within the upstream and region, from 0
 */
public record CellId(String upstream, String region, int index) {

    /**
     * Returns the key that identifies the cell in hashing and in messages.
     *
     * @return upstream, region and index, separated by slashes
     */
    public String key() {
        return upstream + "/" + region + "/" + index;
    }
}
