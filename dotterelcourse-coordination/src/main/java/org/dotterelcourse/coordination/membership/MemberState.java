package org.dotterelcourse.coordination.membership;

/**
 * State of a member within one incarnation. The order of the constants is significant: of two updates with the same
 * incarnation the one with the later constant wins, so that all members converge on the same state in whichever order
 * the updates arrive.
 */
public enum MemberState {
    /** Answers probes, or is reported alive by another member. */
    ALIVE,
    /** Has announced its shutdown: it completes its work and accepts no new work. */
    LEAVING,
    /** Did not answer a probe; it can refute the suspicion with a higher incarnation. */
    SUSPECT,
    /** Did not refute the suspicion in time, or announced that it exits. */
    DEAD
}
