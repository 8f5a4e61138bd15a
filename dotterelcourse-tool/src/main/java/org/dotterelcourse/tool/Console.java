package org.dotterelcourse.tool;

import java.io.PrintStream;

/**
 * Where a command prints.
 *
 * @param out for results
 * @param err for what went wrong with the call or with a daemon
 */
public record Console(PrintStream out, PrintStream err) {}
