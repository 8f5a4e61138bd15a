package org.dotterelcourse.configuration;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the settings file of a process that routes by host and path, and reports everything wrong with it together. */
public final class GatewaySettingsReader {
    private static final String DAEMON = "daemon";
    private static final String LISTEN = "listen";
    private static final String PLATFORM = "platform";
    private static final String REPEATS = "repeats";
    private static final Map<String, List<String>> KEYS = keys();
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final Value<Double> SECONDS = Value.decimal(0.001, 86_400);
    private static final double LONGEST_MILLIS = 3_600_000;
    private static final Value<Double> MILLIS = Value.decimal(100, LONGEST_MILLIS);
    /** The shortest time that deployments ask for. */
    private static final double CHANGES_WITHIN = 2_000;

    private static final Value<Double> COUNT = Value.decimal(0, 1_000_000);

    /**
     * Reads a settings file.
     *
     * @param name the file's name, for findings
     * @param ini the text
     * @return the settings, or all findings
     */
    public Checked<GatewaySettings> read(String name, String ini) {
        Findings findings = new Findings();
        SettingsSections sections = SettingsSections.read(name, ini, KEYS, findings);
        SectionReader daemon = sections.section(DAEMON);
        SectionReader listen = sections.section(LISTEN);
        SectionReader platform = sections.section(PLATFORM);
        SectionReader repeats = sections.section(REPEATS);
        GatewaySettings settings = new GatewaySettings(
                daemon.required("name", Value.NAMED),
                daemon.required("data-centre", Value.NAMED),
                daemon.required("region", Value.NAMED),
                seconds(daemon.required("grace-seconds", SECONDS)),
                listen.required("clients", Value.ADDRESS),
                listen.required("readiness", Value.ADDRESS),
                listen.required("addresses", Value.ADDRESS),
                listen.required("peers", Value.ADDRESS),
                platform.required("store", Value.ADDRESS),
                shortest(
                        platform.optional("configuration-milliseconds", MILLIS, CHANGES_WITHIN),
                        platform.optional("leaving-milliseconds", MILLIS, CHANGES_WITHIN),
                        platform.optional("evacuation-milliseconds", MILLIS, LONGEST_MILLIS)),
                platform.optional("seeds", Value.ADDRESSES, List.of()),
                repeats.required("ratio", COUNT),
                repeats.required("extra", COUNT),
                seconds(repeats.required("window-seconds", SECONDS)));
        return findings.none() ? new Checked.Valid<>(settings) : findings.invalid(List.copyOf(KEYS.keySet()));
    }

    private static Duration seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
    }

    private static Duration shortest(double... millis) {
        return Duration.ofMillis(Math.round(Arrays.stream(millis).min().orElseThrow()));
    }

    private static Map<String, List<String>> keys() {
        Map<String, List<String>> keys = new LinkedHashMap<>();
        keys.put(DAEMON, List.of("name", "data-centre", "region", "grace-seconds"));
        keys.put(LISTEN, List.of("clients", "readiness", "addresses", "peers"));
        keys.put(
                PLATFORM,
                List.of(
                        "store",
                        "configuration-milliseconds",
                        "leaving-milliseconds",
                        "evacuation-milliseconds",
                        "seeds"));
        keys.put(REPEATS, List.of("ratio", "extra", "window-seconds"));
        return keys;
    }
}
