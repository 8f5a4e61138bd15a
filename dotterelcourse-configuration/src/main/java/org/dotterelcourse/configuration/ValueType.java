package org.dotterelcourse.configuration;

import java.math.BigDecimal;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The type of a configuration value: its description, its parser, and a placeholder for invalid values.
 *
 * @param expected the description of a valid value, used in findings
 * @param placeholder the value returned in place of an invalid one; never part of a valid result
 * @param parser parses the text, empty if the text is invalid
 * @param <T> the Java type of the value
 */
record ValueType<T>(String expected, T placeholder, Function<String, Optional<T>> parser) {
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern MODEL_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,126}");
    private static final Pattern SHA256_PATTERN = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern INTEGER_PATTERN = Pattern.compile("[0-9]{1,18}");

    /**
     * Accepts the number formats of other programs: all digits of a double, or an exponent. Rejecting a computed value
     * such as 37.45454545454545 would prevent the process from starting.
     */
    private static final Pattern DECIMAL_PATTERN =
            Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,20})?([eE][+-]?[0-9]{1,2})?");

    private static final Pattern LIST_SEPARATOR = Pattern.compile("\\s*,\\s*");
    private static final Pattern PATH_PATTERN = Pattern.compile("[^\\s;#\"'\\\\]+");

    private static final Pattern FREE_TEXT_PATTERN = Pattern.compile("[^\\p{Cntrl}]{1,500}");

    /** The name of a record. */
    static final ValueType<String> NAME =
            matching(NAME_PATTERN, "a name of letters, digits, dots, hyphens and underscores");

    /** The name or version of a model. */
    static final ValueType<String> MODEL_NAME = matching(MODEL_PATTERN, "a model's name or version without blanks");

    /** A SHA-256 digest. */
    static final ValueType<String> DIGEST = matching(SHA256_PATTERN, "a SHA-256 of 64 lower-case hexadecimal digits");

    /** An IP address and port. */
    static final ValueType<String> ADDRESS =
            new ValueType<>("an IP number and port, as in 127.0.0.1:9101", "", IpAddress::numberAndPort);

    /** A comma-separated list of IP addresses and ports, may be empty. */
    static final ValueType<List<String>> ADDRESSES =
            new ValueType<>("IP numbers and ports between commas", List.of(), ValueType::parseAddresses);

    /** An IP address without a port. */
    static final ValueType<String> IP_ADDRESS = new ValueType<>("an IP number, as in 127.0.0.1", "", IpAddress::number);

    /** A line of free text. */
    static final ValueType<String> LINE = matching(FREE_TEXT_PATTERN, "a line of 1 to 500 characters");

    /** The path of a file. */
    static final ValueType<String> FILE = matching(PATH_PATTERN, "a path without blanks and quotes");

    /** A boolean. */
    static final ValueType<Boolean> BOOLEAN = new ValueType<>("true or false", false, ValueType::parseBoolean);

    /** A comma-separated list of names without duplicates. The order has no meaning; the parsed list is sorted. */
    static final ValueType<List<String>> NAMES =
            new ValueType<>("names between commas, each once", List.of(), ValueType::parseNames);

    /**
     * Describes an invalid text for a finding.
     *
     * @param text the invalid text
     * @return the text; for a SHA-256 digest only its length, because the text may be a misplaced bearer key
     */
    String describeInvalid(String text) {
        if (text.isEmpty()) {
            return "nothing";
        }
        return this == DIGEST ? text.length() + " other characters" : text;
    }

    static ValueType<Long> integer(long min, long max) {
        String expected = "a whole number from " + min + " to " + max;
        return new ValueType<>(expected, min, text -> parseInteger(text).filter(each -> each >= min && each <= max));
    }

    static ValueType<Double> decimal(double min, double max) {
        String expected = "a number from " + Decimals.text(min) + " to " + Decimals.text(max);
        return new ValueType<>(expected, min, text -> parseDecimal(text).filter(each -> each >= min && each <= max));
    }

    static <E extends Enum<E>> ValueType<E> oneOf(Class<E> type) {
        List<E> constants = Arrays.asList(type.getEnumConstants());
        String expected = constants.stream().map(ValueType::lowerCaseName).collect(Collectors.joining(" or "));
        return new ValueType<>(
                expected,
                constants.get(0),
                text -> constants.stream()
                        .filter(each -> lowerCaseName(each).equals(text))
                        .findFirst());
    }

    static String lowerCaseName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static ValueType<String> matching(Pattern pattern, String expected) {
        return new ValueType<>(
                expected, "", text -> pattern.matcher(text).matches() ? Optional.of(text) : Optional.empty());
    }

    private static Optional<Boolean> parseBoolean(String text) {
        return switch (text) {
            case "true" -> Optional.of(true);
            case "false" -> Optional.of(false);
            default -> Optional.empty();
        };
    }

    private static Optional<Long> parseInteger(String text) {
        return INTEGER_PATTERN.matcher(text).matches() ? Optional.of(Long.parseLong(text)) : Optional.empty();
    }

    private static Optional<Double> parseDecimal(String text) {
        return DECIMAL_PATTERN.matcher(text).matches()
                ? Optional.of(new BigDecimal(text).doubleValue())
                : Optional.empty();
    }

    private static Optional<List<String>> parseAddresses(String text) {
        if (text.isBlank()) {
            return Optional.of(List.of());
        }
        List<String> addresses = List.of(LIST_SEPARATOR.split(text.trim(), -1));
        boolean valid = addresses.stream()
                .allMatch(each -> IpAddress.numberAndPort(each).isPresent());
        return valid ? Optional.of(addresses) : Optional.empty();
    }

    private static Optional<List<String>> parseNames(String text) {
        List<String> names = List.of(LIST_SEPARATOR.split(text.trim(), -1));
        TreeSet<String> sorted = new TreeSet<>(names);
        boolean allNames =
                names.stream().allMatch(each -> NAME_PATTERN.matcher(each).matches());
        return allNames && sorted.size() == names.size() ? Optional.of(List.copyOf(sorted)) : Optional.empty();
    }
}
