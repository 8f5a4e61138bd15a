package org.dotterelcourse.tool;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Counts, from routers' logs, which requests were lost and to what. */
@Command(name = "losses", description = "Count from routers' logs, as CSV, which requests were lost and to what")
public final class LossesCommand implements OperatorCommand {
    private static final Map<String, Function<RequestLine, String>> KEYS = Map.of(
            "route", RequestLine::route,
            "customer", RequestLine::customer,
            "worker", RequestLine::worker,
            "second", RequestLine::second);

    @Arguments(title = "LOG", description = "Logs of routers, JSON lines")
    @Required
    private List<String> files = new ArrayList<>();

    @Option(name = "--by", description = "Rows: route, customer, worker or second", title = "WHAT")
    @AllowedRawValues(allowedValues = {"route", "customer", "worker", "second"})
    private String by = "route";

    @Option(
            name = "--target",
            description =
                    "Latency target of a route and its longest pause, in ms, as in r-1=300:200; once for each route",
            title = "ROUTE=FIRST[:PAUSE]")
    private List<String> targets = new ArrayList<>();

    @Override
    public ExitCode run(Console console) throws WrongCallException {
        Map<String, LossCause.Target> targetsByRoute = targets();
        Map<String, Map<LossCause, Integer>> rows = new TreeMap<>();
        int unreadable = 0;
        for (String file : files) {
            for (String line : TextFile.read(file).split("\n")) {
                try {
                    RequestLine.parse(line).ifPresent(request -> count(request, targetsByRoute, rows));
                } catch (JsonProcessingException e) {
                    unreadable++;
                }
            }
        }
        print(console, rows);
        if (unreadable > 0) {
            console.err().println(unreadable + " lines about requests can't be read and are not counted");
            return ExitCode.FINDINGS;
        }
        return ExitCode.OK;
    }

    private void count(
            RequestLine line, Map<String, LossCause.Target> targetsByRoute, Map<String, Map<LossCause, Integer>> rows) {
        LossCause cause = LossCause.of(line, targetsByRoute.getOrDefault(line.route(), LossCause.Target.NONE));
        rows.computeIfAbsent(KEYS.get(by).apply(line), key -> new EnumMap<>(LossCause.class))
                .merge(cause, 1, Integer::sum);
    }

    private Map<String, LossCause.Target> targets() throws WrongCallException {
        Map<String, LossCause.Target> byRoute = new HashMap<>();
        for (String text : targets) {
            int equals = text.lastIndexOf('=');
            String[] millis = text.substring(equals + 1).split(":", -1);
            try {
                if (equals <= 0 || millis.length > 2) {
                    throw new NumberFormatException(text);
                }
                long pause = millis.length == 2 ? Long.parseLong(millis[1]) : 0;
                byRoute.put(text.substring(0, equals), new LossCause.Target(Long.parseLong(millis[0]), pause));
            } catch (NumberFormatException e) {
                throw new WrongCallException("--target " + text + ": expected ROUTE=FIRST or ROUTE=FIRST:PAUSE in ms");
            }
        }
        return byRoute;
    }

    private void print(Console console, Map<String, Map<LossCause, Integer>> rows) {
        List<String> header = new ArrayList<>(List.of(by, "requests"));
        for (LossCause cause : LossCause.values()) {
            header.add(cause == LossCause.NONE ? "on_time" : cause.word());
        }
        try {
            CSVPrinter csv = new CSVPrinter(console.out(), CSVFormat.RFC4180);
            csv.printRecord(header);
            for (Map.Entry<String, Map<LossCause, Integer>> row : rows.entrySet()) {
                Map<LossCause, Integer> counts = row.getValue();
                List<Object> cells = new ArrayList<>(List.of(
                        row.getKey(),
                        counts.values().stream().mapToInt(Integer::intValue).sum()));
                for (LossCause cause : LossCause.values()) {
                    cells.add(counts.getOrDefault(cause, 0));
                }
                csv.printRecord(cells);
            }
            csv.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
