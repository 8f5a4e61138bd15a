package org.dotterelcourse.tool;

import com.github.rvesse.airline.annotations.Command;
import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.ConfigurationText;
import org.dotterelcourse.configuration.PatchHeader;

/** Prints the whole document that a patch results in, as the base of the next patch or to be published whole. */
@Command(name = "apply", description = "Print the whole document that a patch results in, INI even with --json")
public final class PatchApplyCommand extends PatchCommand {
    @Override
    void print(Console console, PatchHeader header, Configuration before, Configuration after) {
        console.out().print(ConfigurationText.render(after));
    }
}
