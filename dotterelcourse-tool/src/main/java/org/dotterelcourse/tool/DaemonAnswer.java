package org.dotterelcourse.tool;

/** What came of a call to a daemon's operators' interface. */
sealed interface DaemonAnswer {
    /**
     * The daemon answered.
     *
     * @param status the HTTP status
     * @param body the body, empty if there is none
     */
    record Answered(int status, String body) implements DaemonAnswer {
        private static final int SUCCESS = 200;
        private static final int REDIRECT = 300;

        boolean successful() {
            return status >= SUCCESS && status < REDIRECT;
        }
    }

    /**
     * No answer came.
     *
     * @param reason why, for the operator
     */
    record Unreachable(String reason) implements DaemonAnswer {}
}
