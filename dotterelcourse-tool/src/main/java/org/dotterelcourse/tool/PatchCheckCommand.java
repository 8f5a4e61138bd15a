package org.dotterelcourse.tool;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.dotterelcourse.configuration.Checked;
import org.dotterelcourse.configuration.Configuration;

/** Checks a patch and what it results in. */
@Command(name = "check", description = "Check a patch against the document and number that it is to be applied to")
public final class PatchCheckCommand implements OperatorCommand {
    @Arguments(title = "FILE", description = "The patch")
    @Required
    @MaxOccurrences(occurrences = 1)
    private String file;

    @Option(name = "--base", title = "DOC", description = "The whole document in force")
    @Required
    private String base;

    @Option(name = "--number", title = "N", description = "The number in force")
    @Required
    private long number;

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) throws WrongCallException {
        Checked<Configuration> whole = Documents.whole(number, base);
        if (whole instanceof Checked.Invalid<Configuration> invalid) {
            return Report.findings(console, json, base, invalid.findings());
        }
        Configuration inForce = ((Checked.Valid<Configuration>) whole).value();
        Checked<Configuration> folded = Documents.fold(inForce, file);
        if (folded instanceof Checked.Invalid<Configuration> invalid) {
            return Report.findings(console, json, file, invalid.findings());
        }
        Documents.printRight(console, json, file, ((Checked.Valid<Configuration>) folded).value());
        return ExitCode.OK;
    }
}
