package org.dotterelcourse.tool;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.github.rvesse.airline.annotations.Command;
import io.netty.handler.codec.http.HttpMethod;

/** Makes daemons take no new callers, finish what they have, and exit. */
@Command(name = "drain", description = "Make each daemon take no new callers, finish what it has, and exit")
public final class DrainCommand extends DaemonCommand {
    private static final String PATH = "/drain";

    @Override
    ExitCode ask(Console console) {
        ExitCode code = ExitCode.OK;
        ArrayNode results = Report.array();
        for (String daemon : daemons()) {
            DaemonAnswer answer = call(HttpMethod.POST, daemon, PATH);
            boolean begun = answer instanceof DaemonAnswer.Answered answered && answered.successful();
            results.add(Report.object().put("daemon", daemon).put("draining", begun));
            if (!begun) {
                code = code.graver(complain(console, daemon, PATH, answer));
            } else if (!json()) {
                console.out().println("daemon " + daemon + " is draining");
            }
        }
        if (json()) {
            Report.print(console, results);
        }
        return code;
    }
}
