package org.dotterelcourse.tool;

import com.github.rvesse.airline.annotations.Command;

/** Show each class with its counts. */
@Command(name = "classes", description = "Show each class with its counts")
public final class ClassesCommand extends QueryCommand {
    @Override
    String path() {
        return "/classes";
    }
}
