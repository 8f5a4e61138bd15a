package org.dotterelcourse.tool;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.dotterelcourse.configuration.Checked;
import org.dotterelcourse.configuration.DaemonSettings;
import org.dotterelcourse.configuration.DaemonSettingsReader;

/** Checks a daemon's settings file. */
@Command(name = "check", description = "Check a daemon's settings file")
public final class SettingsCheckCommand implements OperatorCommand {
    @Arguments(title = "FILE", description = "The settings file")
    @Required
    @MaxOccurrences(occurrences = 1)
    private String file;

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) throws WrongCallException {
        Checked<DaemonSettings> checked = new DaemonSettingsReader().read(file, TextFile.read(file));
        if (checked instanceof Checked.Invalid<DaemonSettings> invalid) {
            return Report.findings(console, json, file, invalid.findings());
        }
        DaemonSettings settings = ((Checked.Valid<DaemonSettings>) checked).value();
        if (json) {
            Report.print(
                    console,
                    Report.object()
                            .put("file", file)
                            .put("valid", true)
                            .put("name", settings.name())
                            .put("dataCentre", settings.dataCentre())
                            .put("region", settings.region()));
        } else {
            console.out()
                    .printf(
                            "%s: right. Daemon %s in %s, region %s.%n",
                            file, settings.name(), settings.dataCentre(), settings.region());
        }
        return ExitCode.OK;
    }
}
