package org.dotterelcourse.standins;

/** Entry point. */
public final class Main {
    private Main() {}

    /**
     * Runs the program.
     *
     * @param args the command line
     */
    public static void main(String[] args) {}
}
