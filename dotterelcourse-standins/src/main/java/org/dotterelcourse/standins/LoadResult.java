package org.dotterelcourse.standins;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What became of a load.
 *
 * @param classes by class
 * @param seconds how long it took, the wait for the last answers among it
 * @param generatedTokens what the engines generated for it
 * @param wastedTokens what they generated and no caller got as part of a whole answer
 * @param reasons why requests were not answered, with how many each
 */
public record LoadResult(
        List<ClassResult> classes,
        double seconds,
        long generatedTokens,
        long wastedTokens,
        Map<String, Integer> reasons) {
    private static final String HEAD = "%-26s %7s %7s %7s %7s %5s %5s %5s %7s %8s %8s %8s %8s %9s %9s %4s %4s%n";
    private static final String ROW =
            "%-26s %7d %7d %7d %7d %5d %5d %5d %7.4f %8.1f %8.1f %8.1f %8.1f %9d %9.0f %4d %4d%n";

    /**
     * Whether nothing happened that must never happen: a wrong or truncated answer, a run of what was said not to have
     * run, a second run of a non-idempotent request.
     *
     * @return true if so
     */
    public boolean clean() {
        return classes.stream()
                .allMatch(each -> each.wrong() == 0
                        && each.truncated() == 0
                        && each.notRunButRan() == 0
                        && each.duplicates() == 0);
    }

    /**
     * The result of one class.
     *
     * @param name the class's name
     * @return its result
     * @throws java.util.NoSuchElementException if the load had no such class
     */
    public ClassResult of(String name) {
        return classes.stream()
                .filter(each -> each.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /**
     * As a table for people.
     *
     * @return the lines, times in milliseconds, goodput in tokens a second
     */
    public String table() {
        StringBuilder table = new StringBuilder(String.format(
                Locale.ROOT,
                HEAD,
                "class",
                "sent",
                "answered",
                "not-run",
                "unknown",
                "wrong",
                "trunc",
                "cut",
                "attain",
                "first50",
                "first95",
                "first99",
                "gap95",
                "tokens",
                "goodput",
                "lied",
                "dup"));
        for (ClassResult each : classes) {
            table.append(String.format(
                    Locale.ROOT,
                    ROW,
                    each.name(),
                    each.sent(),
                    each.answered(),
                    each.notRun(),
                    each.unknown(),
                    each.wrong(),
                    each.truncated(),
                    each.cut(),
                    each.attainment(),
                    each.firstMedianMillis(),
                    each.first95Millis(),
                    each.first99Millis(),
                    each.interval95Millis(),
                    each.tokens(),
                    each.goodTokens() / seconds,
                    each.notRunButRan(),
                    each.duplicates()));
        }
        table.append(String.format(
                Locale.ROOT, "%.1f s, tokens generated %d, wasted %d%n", seconds, generatedTokens, wastedTokens));
        reasons.forEach((reason, count) ->
                table.append("  ").append(reason).append(": ").append(count).append('\n'));
        return table.toString();
    }

    /**
     * As JSON.
     *
     * @return one line
     */
    public String json() {
        return Json.text(this);
    }
}
