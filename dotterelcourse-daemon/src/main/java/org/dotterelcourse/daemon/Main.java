package org.dotterelcourse.daemon;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.dotterelcourse.daemon.log.JsonLog;

/** Entry point of the daemon. */
public final class Main {
    static {
        JsonLog.choose();
        // The platform's VMs are not to be used through anything but plain sockets.
        System.setProperty("reactor.netty.native", "false");
    }

    private Main() {}

    /**
     * Runs the daemon. Exit code 2 means that nothing was started: the settings or the command line are wrong.
     *
     * @param args the command line
     * @throws InterruptedException if the main thread is interrupted
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
