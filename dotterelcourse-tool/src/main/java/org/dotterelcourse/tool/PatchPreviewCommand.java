package org.dotterelcourse.tool;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.dotterelcourse.configuration.Change;
import org.dotterelcourse.configuration.Checked;
import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.ConfigurationDifference;
import org.dotterelcourse.configuration.IniConfigurationReader;
import org.dotterelcourse.configuration.PatchHeader;

/** Shows what a patch changes, key by key. */
@Command(name = "preview", description = "Show what a patch changes, key by key, before and after")
public final class PatchPreviewCommand implements OperatorCommand {
    private static final String SUM_KEY = "key-sha256";
    private static final int SHOWN_OF_SUM = 8;

    @Arguments(title = "FILE", description = "The patch")
    @Required
    @MaxOccurrences(occurrences = 1)
    private String file;

    @Option(name = "--base", title = "DOC", description = "The whole document, taken to be the patch's base")
    @Required
    private String base;

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) throws WrongCallException {
        Checked<PatchHeader> read = new IniConfigurationReader().header(file, TextFile.read(file));
        if (read instanceof Checked.Invalid<PatchHeader> invalid) {
            return Report.findings(console, json, file, invalid.findings());
        }
        PatchHeader header = ((Checked.Valid<PatchHeader>) read).value();
        Checked<Configuration> whole = Documents.whole(header.base(), base);
        if (whole instanceof Checked.Invalid<Configuration> invalid) {
            return Report.findings(console, json, base, invalid.findings());
        }
        Configuration before = ((Checked.Valid<Configuration>) whole).value();
        Checked<Configuration> folded = Documents.fold(before, file);
        if (folded instanceof Checked.Invalid<Configuration> invalid) {
            return Report.findings(console, json, file, invalid.findings());
        }
        Configuration after = ((Checked.Valid<Configuration>) folded).value();
        print(console, header, after, ConfigurationDifference.between(before, after));
        return ExitCode.OK;
    }

    private void print(Console console, PatchHeader header, Configuration after, List<Change> changes) {
        if (json) {
            Report.print(console, tree(header, after, changes));
            return;
        }
        console.out().printf("%s: base %d, by %s: %s%n%n", file, header.base(), header.author(), header.reason());
        TextTable table = new TextTable(List.of("SECTION", "KEY", "BEFORE", "AFTER"));
        for (Change each : changes) {
            table.row(List.of(each.section(), each.key(), shown(each, each.before()), shown(each, each.after())));
        }
        table.print(console);
        console.out().printf("%n%d keys change; digest %s%n", changes.size(), after.digest());
    }

    private ObjectNode tree(PatchHeader header, Configuration after, List<Change> changes) {
        ObjectNode result = Report.object()
                .put("file", file)
                .put("valid", true)
                .put("base", header.base())
                .put("author", header.author())
                .put("reason", header.reason())
                .put("digest", after.digest());
        ArrayNode list = result.putArray("changes");
        changes.forEach(each -> list.add(Report.object()
                .put("section", each.section())
                .put("key", each.key())
                .put("before", shown(each, each.before()))
                .put("after", shown(each, each.after()))));
        return result;
    }

    /** Even the sum of a short bearer key can be guessed back to the key, so only its start is shown. */
    private static String shown(Change change, String value) {
        if (value.isEmpty()) {
            return "-";
        }
        boolean sum = change.key().equals(SUM_KEY) && value.length() > SHOWN_OF_SUM;
        return sum ? value.substring(0, SHOWN_OF_SUM) + "..." : value;
    }
}
