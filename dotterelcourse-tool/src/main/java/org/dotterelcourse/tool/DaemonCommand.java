package org.dotterelcourse.tool;

import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.configuration.IpAddress;

/** What all commands that ask daemons have in common. */
abstract class DaemonCommand implements OperatorCommand {
    @Option(
            name = "--daemon",
            title = "IP:PORT",
            description = "A daemon's operators' address, as in 127.0.0.1:9090; repeat it for several daemons")
    @Required
    private List<String> daemons = new ArrayList<>();

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    private final DaemonClient client = new DaemonClient();

    @Override
    public ExitCode run(Console console) throws WrongCallException {
        for (String daemon : daemons) {
            if (IpAddress.numberAndPort(daemon).isEmpty()) {
                throw new WrongCallException(
                        "--daemon: expected an IP number and port, as in 127.0.0.1:9090, found " + daemon);
            }
        }
        return ask(console);
    }

    /**
     * Asks the daemons and prints the answers.
     *
     * @param console where to print
     * @return how it ended
     */
    abstract ExitCode ask(Console console);

    List<String> daemons() {
        return daemons;
    }

    boolean json() {
        return json;
    }

    DaemonAnswer call(HttpMethod method, String daemon, String path) {
        return client.call(method, daemon, path);
    }

    /**
     * Tells the operator that a daemon gave no answer that can be used.
     *
     * @param console where to print
     * @param daemon the daemon's address
     * @param path what it was asked for
     * @param answer what came instead
     * @return the exit code for it
     */
    static ExitCode complain(Console console, String daemon, String path, DaemonAnswer answer) {
        String reason = answer instanceof DaemonAnswer.Answered answered
                ? "answered " + answered.status() + " to " + path + " "
                        + answered.body().strip()
                : "can't be reached: " + ((DaemonAnswer.Unreachable) answer).reason();
        console.err().println("daemon " + daemon + " " + reason.strip());
        return ExitCode.UNREACHABLE;
    }
}
