package org.dotterelcourse.coordination;

/**
 * One life of one process: a replaced VM keeps its name and gets a new incarnation.
 *
 * @param name the VM's name, unique in the fleet
 * @param incarnation rises with every start of the process, and when the process refutes a false suspicion
 */
public record MemberId(String name, long incarnation) {}
