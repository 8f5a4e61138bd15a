package org.dotterelcourse.daemon.cells;

import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.ownership.CellId;
import org.dotterelcourse.coordination.ownership.Ownership;

/** Who owns a cell. */
public interface OwnerRule {
    /** One owner for the whole fleet, by rendezvous hashing over the members that are alive. */
    OwnerRule SHARED =
            (ownership, cell, self) -> ownership.owner(cell).map(Member::name).orElse("");

    /**
     * Each daemon owns every cell for itself and knows nothing of what others send: the baseline that owners are
     * measured against.
     */
    OwnerRule ALONE = (ownership, cell, self) -> self;

    /**
     * Decides.
     *
     * @param ownership who is responsible for what, by this daemon's view of the fleet
     * @param cell the cell
     * @param self this daemon's name
     * @return the owner's name, empty if nobody is alive
     */
    String owner(Ownership ownership, CellId cell, String self);
}
