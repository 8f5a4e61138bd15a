package org.dotterelcourse.tool;

import com.github.rvesse.airline.annotations.Command;

/** Show who owns the cells and the customers' limits. */
@Command(name = "owners", description = "Show who owns the cells and the customers' limits")
public final class OwnersCommand extends QueryCommand {
    @Override
    String path() {
        return "/owners";
    }
}
