package org.dotterelcourse.tool;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import org.dotterelcourse.configuration.Change;
import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.ConfigurationDifference;
import org.dotterelcourse.configuration.PatchHeader;

/** Shows what a patch changes, key by key. */
@Command(name = "preview", description = "Show what a patch changes, key by key, before and after")
public final class PatchPreviewCommand extends PatchCommand {
    private static final String SUM_KEY = "key-sha256";
    private static final int SHOWN_OF_SUM = 8;

    @Override
    void print(Console console, PatchHeader header, Configuration before, Configuration after) {
        List<Change> changes = ConfigurationDifference.between(before, after);
        if (json()) {
            Report.print(console, tree(header, after, changes));
            return;
        }
        console.out().printf("%s: base %d, by %s: %s%n%n", file(), header.base(), header.author(), header.reason());
        TextTable table = new TextTable(List.of("SECTION", "KEY", "BEFORE", "AFTER"));
        for (Change each : changes) {
            table.row(List.of(each.section(), each.key(), shown(each, each.before()), shown(each, each.after())));
        }
        table.print(console);
        console.out().printf("%n%d keys change; digest %s%n", changes.size(), after.digest());
    }

    private ObjectNode tree(PatchHeader header, Configuration after, List<Change> changes) {
        ObjectNode result = Report.object()
                .put("file", file())
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
