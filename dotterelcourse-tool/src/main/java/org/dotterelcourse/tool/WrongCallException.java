package org.dotterelcourse.tool;

/** The operator's call can't be carried out as it was written. */
final class WrongCallException extends Exception {
    /**
     * Tells the operator what is wrong.
     *
     * @param message what is wrong, and what was meant if it can be told
     */
    WrongCallException(String message) {
        super(message);
    }
}
