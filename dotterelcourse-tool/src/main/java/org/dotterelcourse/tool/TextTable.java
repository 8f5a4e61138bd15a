package org.dotterelcourse.tool;

import java.util.ArrayList;
import java.util.List;

/** Lays rows out in columns as wide as their widest cell. */
final class TextTable {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /**
     * Starts a table.
     *
     * @param titles the columns' titles
     */
    TextTable(List<String> titles) {
        rows.add(List.copyOf(titles));
    }

    /**
     * Adds a row.
     *
     * @param cells as many cells as there are titles
     * @return this table
     */
    TextTable row(List<String> cells) {
        rows.add(List.copyOf(cells));
        return this;
    }

    /**
     * Prints the table.
     *
     * @param console where to print
     */
    void print(Console console) {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        rows.forEach(row -> console.out().println(line(row, widths)));
    }

    private static String line(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            String cell = row.get(column);
            line.append(cell).append(" ".repeat(widths[column] - cell.length())).append(GAP);
        }
        return line.toString().stripTrailing();
    }
}
