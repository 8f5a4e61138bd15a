package org.dotterelcourse.coordination;

/**
 * Identifies one run of a member's process. A replaced VM keeps its name and gets a new incarnation.
 *
 * @param name the VM's name, unique in the fleet
 * @param incarnation increases with each start of the process, and when the process refutes a false suspicion
 */
public record MemberId(String name, long incarnation) {
    /* The generated methods of a record are linked when they are first called, which delays the start of a process. */
    @Override
    public boolean equals(Object other) {
        return other instanceof MemberId that && incarnation == that.incarnation && name.equals(that.name);
    }

    @Override
    public int hashCode() {
        return 31 * name.hashCode() + Long.hashCode(incarnation);
    }
}
