package org.dotterelcourse.standins;

import java.io.IOException;
import java.util.concurrent.Callable;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Parser;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Entry point: one subcommand for each stand-in. */
@com.github.rvesse.airline.annotations.Cli(
        name = "dotterelcourse-standins",
        description = "Small stand-ins for the systems that a daemon meets; loopback only",
        defaultCommand = Help.class,
        parserConfiguration = @Parser(),
        commands = {
            Help.class,
            Commands.Engine.class,
            Commands.Service.class,
            Commands.Configuration.class,
            Commands.Vms.class,
            Commands.Weights.class,
            Commands.Load.class,
            Commands.Overhead.class,
            Commands.Proxy.class,
            Commands.WholePlatform.class
        })
public final class Main {
    private static final int WRONG_CALL = 2;

    private Main() {}

    /**
     * Runs the program. Exits with 0 when the work is done, 1 when it failed, 2 when the call was wrong.
     *
     * @param args the command line
     * @throws Exception if a stand-in can't start
     */
    public static void main(String[] args) throws Exception {
        try {
            Callable<?> command = new Cli<Callable<?>>(Main.class).parse(args);
            if (command.call() instanceof Integer code) {
                System.exit(code);
            }
        } catch (ParseException | IllegalArgumentException | IOException e) {
            System.err.println(e.getMessage());
            System.exit(WRONG_CALL);
        }
    }
}
