package org.dotterelcourse.coordination;

/**
 * Identifies one run of a member's process. A replaced VM keeps its name and gets a new incarnation.
 *
 * @param name the VM's name, unique in the fleet
 * @param incarnation increases with each start of the process, and when the process refutes a false suspicion
 */
public record MemberId(String name, long incarnation) {}
