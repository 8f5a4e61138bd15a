package org.dotterelcourse.tool;

/** One command of the tool. Airline fills its options and arguments in before it runs. */
interface OperatorCommand {
    /**
     * Runs the command.
     *
     * @param console where to print
     * @return how it ended
     * @throws WrongCallException if an option or argument can't be used
     */
    ExitCode run(Console console) throws WrongCallException;
}
