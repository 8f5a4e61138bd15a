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
 * A type of value: what a text must look like and how it is read.
 *
 * @param expected what the text must be, in words
 * @param placeholder stands for a value that could not be read; never part of a valid result
 * @param parser reads the text, empty if it is not as expected
 * @param <T> the value's type
 */
record Value<T>(String expected, T placeholder, Function<String, Optional<T>> parser) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern MODEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,126}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern INTEGER = Pattern.compile("[0-9]{1,18}");

    /**
     * Also fractions as other programs write them, to the last digit of a double or with an exponent. A reader that
     * refuses 37.45454545454545 keeps the whole process from starting.
     */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,20})?([eE][+-]?[0-9]{1,2})?");

    private static final Pattern LIST_SEPARATOR = Pattern.compile("\\s*,\\s*");
    private static final Pattern PATH = Pattern.compile("[^\\s;#\"'\\\\]+");

    private static final Pattern FREE = Pattern.compile("[^\\p{Cntrl}]{1,500}");

    /** The name of a thing that a section describes. */
    static final Value<String> NAMED = matching(NAME, "a name of letters, digits, dots, hyphens and underscores");

    /** The name or version of a model. */
    static final Value<String> MODEL_NAME = matching(MODEL, "a model's name or version without blanks");

    /** A SHA-256 sum. */
    static final Value<String> DIGEST = matching(SHA256, "a SHA-256 of 64 lower-case hexadecimal digits");

    /** An IP number and port. */
    static final Value<String> ADDRESS =
            new Value<>("an IP number and port, as in 127.0.0.1:9101", "", IpAddress::numberAndPort);

    /** IP numbers and ports between commas, none at all allowed. */
    static final Value<List<String>> ADDRESSES =
            new Value<>("IP numbers and ports between commas", List.of(), Value::parseAddresses);

    /** An IP number. */
    static final Value<String> IP_NUMBER = new Value<>("an IP number, as in 127.0.0.1", "", IpAddress::number);

    /** A line of free text. */
    static final Value<String> LINE = matching(FREE, "a line of 1 to 500 characters");

    /** The path of a file. */
    static final Value<String> FILE = matching(PATH, "a path without blanks and quotes");

    /** True or false. */
    static final Value<Boolean> BOOLEAN = new Value<>("true or false", false, Value::parseBoolean);

    /** Names between commas, each once; their order has no meaning. */
    static final Value<List<String>> NAMES =
            new Value<>("names between commas, each once", List.of(), Value::parseNames);

    /**
     * Writes a text that was not as expected.
     *
     * @param text the text
     * @return the text; for a sum only its length, because somebody may have written the bearer key itself there
     */
    String found(String text) {
        if (text.isEmpty()) {
            return "nothing";
        }
        return this == DIGEST ? text.length() + " other characters" : text;
    }

    static Value<Long> integer(long least, long most) {
        String expected = "a whole number from " + least + " to " + most;
        return new Value<>(expected, least, text -> parseInteger(text).filter(each -> each >= least && each <= most));
    }

    static Value<Double> decimal(double least, double most) {
        String expected = "a number from " + Decimals.text(least) + " to " + Decimals.text(most);
        return new Value<>(expected, least, text -> parseDecimal(text).filter(each -> each >= least && each <= most));
    }

    static <E extends Enum<E>> Value<E> oneOf(Class<E> type) {
        List<E> constants = Arrays.asList(type.getEnumConstants());
        String expected = constants.stream().map(Value::word).collect(Collectors.joining(" or "));
        return new Value<>(
                expected,
                constants.get(0),
                text -> constants.stream()
                        .filter(each -> word(each).equals(text))
                        .findFirst());
    }

    static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static Value<String> matching(Pattern pattern, String expected) {
        return new Value<>(
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
        return INTEGER.matcher(text).matches() ? Optional.of(Long.parseLong(text)) : Optional.empty();
    }

    private static Optional<Double> parseDecimal(String text) {
        return DECIMAL.matcher(text).matches() ? Optional.of(new BigDecimal(text).doubleValue()) : Optional.empty();
    }

    private static Optional<List<String>> parseAddresses(String text) {
        if (text.isBlank()) {
            return Optional.of(List.of());
        }
        List<String> addresses = List.of(LIST_SEPARATOR.split(text.trim(), -1));
        boolean right = addresses.stream()
                .allMatch(each -> IpAddress.numberAndPort(each).isPresent());
        return right ? Optional.of(addresses) : Optional.empty();
    }

    private static Optional<List<String>> parseNames(String text) {
        List<String> names = List.of(LIST_SEPARATOR.split(text.trim(), -1));
        TreeSet<String> sorted = new TreeSet<>(names);
        boolean allNames = names.stream().allMatch(each -> NAME.matcher(each).matches());
        return allNames && sorted.size() == names.size() ? Optional.of(List.copyOf(sorted)) : Optional.empty();
    }
}
