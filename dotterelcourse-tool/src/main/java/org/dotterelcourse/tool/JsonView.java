package org.dotterelcourse.tool;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Prints a JSON answer for people: a list of objects, or an object of objects, as a table with a column a key; single
 * values a line each. It knows no field by name, so that a daemon of another version is shown as well.
 */
final class JsonView {
    private static final String NAME_COLUMN = "name";

    private final Console console;

    /**
     * Makes a view.
     *
     * @param console where to print
     */
    JsonView(Console console) {
        this.console = console;
    }

    /**
     * Prints an answer.
     *
     * @param answer the answer
     */
    void print(JsonNode answer) {
        if (answer.isArray()) {
            table(rows(answer));
        } else if (answer.isObject() && !answer.isEmpty() && allObjects(answer)) {
            table(namedRows(answer));
        } else if (answer.isObject()) {
            fields(answer);
        } else {
            console.out().println(answer.asText());
        }
    }

    private void fields(JsonNode object) {
        List<String> tables = new ArrayList<>();
        object.fields().forEachRemaining(field -> {
            if (field.getValue().isContainerNode()) {
                tables.add(field.getKey());
            } else {
                console.out().println(field.getKey() + ": " + field.getValue().asText());
            }
        });
        for (String name : tables) {
            console.out().println(name + ":");
            print(object.get(name));
        }
    }

    private void table(List<Map<String, String>> rows) {
        if (rows.isEmpty()) {
            console.out().println("none");
            return;
        }
        Set<String> columns = new LinkedHashSet<>();
        rows.forEach(row -> columns.addAll(row.keySet()));
        TextTable table = new TextTable(List.copyOf(columns));
        for (Map<String, String> row : rows) {
            table.row(columns.stream()
                    .map(column -> row.getOrDefault(column, "-"))
                    .toList());
        }
        table.print(console);
    }

    private static boolean allObjects(JsonNode object) {
        for (JsonNode value : object) {
            if (!value.isObject()) {
                return false;
            }
        }
        return true;
    }

    private static List<Map<String, String>> rows(JsonNode array) {
        List<Map<String, String>> rows = new ArrayList<>();
        for (JsonNode element : array) {
            Map<String, String> row = new LinkedHashMap<>();
            flatten("", element, row);
            rows.add(row);
        }
        return rows;
    }

    private static List<Map<String, String>> namedRows(JsonNode object) {
        List<Map<String, String>> rows = new ArrayList<>();
        Iterator<Map.Entry<String, JsonNode>> fields = object.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            Map<String, String> row = new LinkedHashMap<>();
            row.put(NAME_COLUMN, field.getKey());
            flatten("", field.getValue(), row);
            rows.add(row);
        }
        return rows;
    }

    private static void flatten(String prefix, JsonNode value, Map<String, String> row) {
        if (value instanceof ObjectNode object) {
            String start = prefix.isEmpty() ? "" : prefix + ".";
            object.fields().forEachRemaining(field -> flatten(start + field.getKey(), field.getValue(), row));
        } else {
            String text = value.isContainerNode() ? value.toString() : value.asText();
            row.put(prefix.isEmpty() ? "value" : prefix, text.isEmpty() ? "-" : text);
        }
    }
}
