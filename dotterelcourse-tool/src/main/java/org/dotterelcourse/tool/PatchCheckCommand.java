package org.dotterelcourse.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.PatchHeader;

/** Checks a patch and what it results in. */
@Command(name = "check", description = "Check a patch against the document and number that it is to be applied to")
public final class PatchCheckCommand extends PatchCommand {
    @Option(name = "--number", title = "N", description = "The number in force")
    @Required
    private long number;

    @Override
    long number(PatchHeader header) {
        return number;
    }

    @Override
    void print(Console console, PatchHeader header, Configuration before, Configuration after) {
        Documents.printRight(console, json(), file(), after);
    }
}
