package org.dotterelcourse.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/** Shows what changed. */
@Command(name = "audit", description = "Show the changes that each daemon still remembers")
public final class AuditCommand extends QueryCommand {
    @Option(name = "--after", title = "SEQ", description = "Only changes with a higher sequence number (0)")
    private long after;

    @Override
    String path() {
        return "/audit?after=" + after;
    }
}
