package org.dotterelcourse.tool;

/** Entry point of {@code dotterelctl}. */
public final class Main {
    private Main() {}

    /**
     * Runs one command and ends the process with its exit code.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        ExitCode code = new CommandLine(new Console(System.out, System.err)).run(args);
        System.out.flush();
        System.exit(code.value());
    }
}
