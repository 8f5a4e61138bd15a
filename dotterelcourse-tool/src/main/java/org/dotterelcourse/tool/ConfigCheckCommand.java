package org.dotterelcourse.tool;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.dotterelcourse.configuration.Checked;
import org.dotterelcourse.configuration.Configuration;

/** Checks a whole configuration document. */
@Command(name = "check", description = "Check a whole configuration document")
public final class ConfigCheckCommand implements OperatorCommand {
    @Arguments(title = "FILE", description = "The document")
    @Required
    @MaxOccurrences(occurrences = 1)
    private String file;

    @Option(name = "--number", title = "N", description = "The number that it is published under (1)")
    private long number = 1;

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) throws WrongCallException {
        Checked<Configuration> checked = Documents.whole(number, file);
        if (checked instanceof Checked.Invalid<Configuration> invalid) {
            return Report.findings(console, json, file, invalid.findings());
        }
        Documents.printRight(console, json, file, ((Checked.Valid<Configuration>) checked).value());
        return ExitCode.OK;
    }
}
