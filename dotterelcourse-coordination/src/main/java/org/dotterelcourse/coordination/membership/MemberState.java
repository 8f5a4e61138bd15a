package org.dotterelcourse.coordination.membership;

/**
 * State of a member within one incarnation. The order matters: of two statements with the same incarnation the later
 * constant wins, so that all members end with the same state whatever order the statements arrive in.
 */
public enum MemberState {
    /** Answers probes, or was told of by one who does. */
    ALIVE,
    /** Is shutting down by its own word: it finishes what it has and takes nothing on. */
    LEAVING,
    /** Left a probe unanswered; may still refute with a higher incarnation. */
    SUSPECT,
    /** Did not refute in time, or said that it ends. */
    DEAD
}
