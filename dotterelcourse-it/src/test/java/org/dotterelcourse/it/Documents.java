package org.dotterelcourse.it;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;

/** The configuration document, the settings and the classes of a load that the tests use. */
final class Documents {
    static final String QUESTION = "coupon-date-question";
    static final String SUMMARY = "prospectus-summary";
    static final String SIGNED = "signed-redemption-draft";
    static final String CHECK = "teller-eligibility";
    static final String PAYOUT = "payout";
    static final String KEY = "test-key";

    private static final String CLASSES = """
            [class coupon-date-question]
            upstream = sabla-llm
            model = sabla-bond
            version = 3
            tier = 2
            target-ms = 30000
            token-interval-ms = 5000
            idempotent = true
            late-is-useless = false
            minimum-share = 0.3
            max-waiting = 2000
            max-output-tokens = 2000

            [class prospectus-summary]
            upstream = sabla-llm
            model = sabla-bond
            version = 3
            tier = 4
            target-ms = 60000
            token-interval-ms = 5000
            idempotent = true
            late-is-useless = false
            minimum-share = 0.2
            max-waiting = 2000
            max-output-tokens = 2000

            [class signed-redemption-draft]
            upstream = sabla-llm
            model = sabla-bond
            version = 3
            tier = 1
            target-ms = 30000
            token-interval-ms = 5000
            idempotent = false
            late-is-useless = false
            minimum-share = 0.3
            max-waiting = 2000
            max-output-tokens = 2000

            [class teller-eligibility]
            upstream = counter-api
            tier = 1
            target-ms = 2000
            idempotent = true
            late-is-useless = false
            minimum-share = 0.4
            max-waiting = 2000

            [class payout]
            upstream = counter-api
            tier = 1
            target-ms = 2000
            idempotent = false
            late-is-useless = false
            minimum-share = 0.4
            max-waiting = 2000

            [customer bank-1]
            key-sha256 = %s
            classes = coupon-date-question, prospectus-summary, signed-redemption-draft, teller-eligibility, payout
            default-class = coupon-date-question
            requests-per-second = 5000
            tokens-per-second = 5000000

            [upstream sabla-llm]
            kind = engine
            region = muscat
            fencing = checked
            concurrency = 16

            [upstream counter-api]
            kind = service
            region = muscat
            concurrency = 32
            """;

    private static final String SETTINGS = """
            [daemon]
            name = %s
            data-centre = ruwi-hall
            region = muscat
            drain-limit-seconds = 60

            [listen]
            address = 127.0.0.1
            callers-port = 0
            operators-port = 0
            peers-port = 0

            [platform]
            configuration-service = %s
            vm-list = %s
            reads-per-second = 20

            [edge]
            max-body-bytes = 1048576
            addresses-time-to-live-seconds = 2
            """;

    private Documents() {}

    /** The whole document; the workers are given by name, with their addresses. */
    static String document(Map<String, String> engines, Map<String, String> services) {
        StringBuilder text = new StringBuilder(CLASSES.formatted(sha256(KEY)));
        engines.forEach((name, address) -> text.append(worker(name, "sabla-llm", address)));
        services.forEach((name, address) -> text.append(worker(name, "counter-api", address)));
        return text.toString();
    }

    /** A patch that changes one class's bound. */
    static String patch(long base, int maxWaiting) {
        return "[patch]\nbase = " + base + "\nauthor = operator\nreason = test\n\n[set class coupon-date-question]\n"
                + "max-waiting = " + maxWaiting + "\n";
    }

    static String settings(String name, String configurationService, String vmList) {
        return SETTINGS.formatted(name, configurationService, vmList);
    }

    /** The part of a load's JSON that describes its classes. */
    static String loadClasses(int leastTokens, int mostTokens) {
        String tokens = ",\"keys\":[\"" + KEY + "\"],\"targetMillis\":30000,\"leastTokens\":" + leastTokens
                + ",\"mostTokens\":" + mostTokens;
        return "[{\"name\":\"" + QUESTION + "\",\"weight\":3" + tokens + "},"
                + "{\"name\":\"" + SUMMARY + "\",\"weight\":1,\"stream\":false" + tokens + "},"
                + "{\"name\":\"" + SIGNED + "\",\"weight\":1,\"idempotent\":false" + tokens + "},"
                + "{\"name\":\"" + CHECK + "\",\"weight\":2,\"service\":\"counter-api\",\"path\":\"check\"" + tokens
                + "},"
                + "{\"name\":\"" + PAYOUT + "\",\"weight\":1,\"service\":\"counter-api\",\"path\":\"pay/out\","
                + "\"idempotent\":false,\"tickets\":true" + tokens + "}]";
    }

    private static String worker(String name, String upstream, String address) {
        return "\n[worker " + name + "]\nupstream = " + upstream + "\naddress = " + address
                + "\ndata-centre = ruwi-hall\n";
    }

    private static String sha256(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
