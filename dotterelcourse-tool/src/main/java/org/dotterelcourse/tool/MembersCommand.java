package org.dotterelcourse.tool;

import com.github.rvesse.airline.annotations.Command;

/** Show the other daemons as each daemon sees them. */
@Command(name = "members", description = "Show the other daemons as each daemon sees them")
public final class MembersCommand extends QueryCommand {
    @Override
    String path() {
        return "/members";
    }
}
