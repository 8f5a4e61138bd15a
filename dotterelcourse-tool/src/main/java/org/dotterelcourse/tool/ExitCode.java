package org.dotterelcourse.tool;

/** How a run of the tool ended, as the shell sees it. */
public enum ExitCode {
    /** Everything is right. */
    OK(0),
    /** A text has findings, or the daemons contradict each other. */
    FINDINGS(1),
    /** The call itself is wrong. */
    WRONG_CALL(2),
    /** A daemon can't be reached, or didn't answer as it should. */
    UNREACHABLE(3);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /**
     * The number that the shell gets.
     *
     * @return the number
     */
    public int value() {
        return value;
    }

    /**
     * The graver of two endings.
     *
     * @param other the other one
     * @return the one with the higher number
     */
    ExitCode graver(ExitCode other) {
        return value >= other.value ? this : other;
    }
}
