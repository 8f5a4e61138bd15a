package org.dotterelcourse.standins;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What the stand-ins answer, as a pure function of the request, so that a caller can check every byte of its answer.
 * Token i of an engine's answer depends on the prompt and i only; now and then it holds characters that JSON escapes or
 * that take several bytes in UTF-8, so that an answer split or joined in the wrong place is noticed.
 */
public final class ExpectedAnswer {
    private static final Pattern LENGTH_HINT = Pattern.compile("\\[\\[tokens=(\\d{1,6})]]");
    private static final int SHORTEST = 16;
    private static final int SPREAD = 113;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int TOKEN_BITS = 24;
    private static final String[] RARE = {"\"", "\\", "\n", "é", "ع", "€", "𝄞"};
    private static final int RARE_EVERY = 11;

    private ExpectedAnswer() {}

    /**
     * The prompt of a chat completion: the contents of its messages, joined by line ends.
     *
     * @param messages the {@code messages} array
     * @return the prompt
     */
    public static String prompt(JsonNode messages) {
        StringBuilder prompt = new StringBuilder();
        for (JsonNode each : messages) {
            JsonNode content = each.path("content");
            prompt.append(content.isTextual() ? content.asText() : content.toString())
                    .append('\n');
        }
        return prompt.toString();
    }

    /**
     * The prompt of a chat completion with one message.
     *
     * @param content the content of the message
     * @return the prompt
     */
    public static String promptOf(String content) {
        return content + "\n";
    }

    /**
     * The first tokens of the answer.
     *
     * @param prompt the prompt, as {@link #prompt} makes it
     * @param tokens how many
     * @return the text
     */
    public static String text(String prompt, int tokens) {
        long seed = hash(prompt);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(seed, i));
        }
        return text.toString();
    }

    /**
     * How long the whole answer is: the number in {@code [[tokens=N]]} if the prompt holds that, else 16 to 128.
     *
     * @param prompt the prompt, as {@link #prompt} makes it
     * @return the number of tokens, at least 1
     */
    public static int naturalTokens(String prompt) {
        Matcher hint = LENGTH_HINT.matcher(prompt);
        if (hint.find()) {
            return Math.max(1, Integer.parseInt(hint.group(1)));
        }
        return SHORTEST + (int) Long.remainderUnsigned(hash(prompt), SPREAD);
    }

    /**
     * The whole answer as a caller gets it.
     *
     * @param prompt the prompt, as {@link #prompt} makes it
     * @param maxTokens the request's {@code max_tokens}, 0 for none
     * @return the text
     */
    public static String whole(String prompt, int maxTokens) {
        int natural = naturalTokens(prompt);
        return text(prompt, maxTokens > 0 ? Math.min(natural, maxTokens) : natural);
    }

    /**
     * How many tokens a text has.
     *
     * @param text the prompt
     * @return the number of tokens, at least 1
     */
    public static int promptTokens(String text) {
        return Math.max(1, (text.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    /**
     * What a plain service answers.
     *
     * @param path the path it was called by, with the slash in front and without a query
     * @param body the request's body
     * @return the answer's body
     */
    public static String service(String path, byte[] body) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(body);
            return path + "\n" + HexFormat.of().formatHex(digest) + "\n" + new String(body, StandardCharsets.UTF_8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(hash);
    }

    static String token(long seed, int index) {
        long mixed = mix(seed + 0x9e3779b97f4a7c15L * (index + 1));
        String word = Long.toString(mixed >>> (Long.SIZE - TOKEN_BITS), Character.MAX_RADIX);
        if (Long.remainderUnsigned(mixed, RARE_EVERY) == 0) {
            return " " + word + RARE[(int) ((mixed >>> 8) & 0xff) % RARE.length];
        }
        return " " + word;
    }

    /** The finaliser of SplitMix64, so that near seeds give unrelated tokens. */
    private static long mix(long value) {
        long z = value;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
