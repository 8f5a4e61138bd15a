package org.dotterelcourse.tool;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.dotterelcourse.standins.LoadGenerator;
import org.dotterelcourse.standins.LoadResult;
import org.dotterelcourse.standins.LoadSpec;

/** Sends a load to daemons on loopback and judges every answer. */
@Command(name = "load", description = "Send a load to daemons on loopback and judge every answer")
public final class LoadCommand implements OperatorCommand {
    @Arguments(title = "FILE", description = "The load, JSON: docs/STANDINS.md")
    @Required
    @MaxOccurrences(occurrences = 1)
    private String file;

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) throws WrongCallException {
        LoadSpec spec = spec(TextFile.read(file));
        try {
            LoadResult result = new LoadGenerator(spec).run();
            console.out().println(json ? result.json() : result.table());
            return code(console, result);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            console.err().println("the load was interrupted");
            return ExitCode.FINDINGS;
        }
    }

    private LoadSpec spec(String text) throws WrongCallException {
        try {
            return LoadSpec.parse(text);
        } catch (IllegalArgumentException e) {
            throw new WrongCallException(file + ": " + e.getMessage());
        }
    }

    /** A load that no daemon took breaks no promise, and would otherwise look like a clean run. */
    private static ExitCode code(Console console, LoadResult result) {
        if (!result.clean()) {
            console.err().println("an answer was wrong or cut, or a request ran that must not have");
            return ExitCode.FINDINGS;
        }
        boolean answered = result.classes().stream().anyMatch(each -> each.answered() > 0);
        if (!answered) {
            console.err().println("no request was answered");
            return ExitCode.UNREACHABLE;
        }
        return ExitCode.OK;
    }
}
