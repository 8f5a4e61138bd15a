package org.dotterelcourse.daemon;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.dotterelcourse.daemon.log.JsonLog;

/** Entry point of the daemon. */
public final class Main {
    static {
        JsonLog.choose();
        // The platform's VMs may be used only through plain sockets, so native transports are off.
        System.setProperty("reactor.netty.native", "false");
    }

    private Main() {}

    /**
     * Runs the daemon until it has drained. Exit code 2 means that the daemon was not started: the command line or the
     * settings are invalid, or a service failed to start.
     *
     * @param args command-line arguments
     * @throws InterruptedException if the main thread is interrupted while the daemon runs
     */
    public static void main(String[] args) throws InterruptedException {
        RunCommand command;
        try {
            command = SingleCommand.singleCommand(RunCommand.class).parse(args);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.err.println("usage: dotterelcourse --settings FILE");
            System.exit(RunCommand.EXIT_NOT_STARTED);
            return;
        }
        System.exit(command.run());
    }
}
