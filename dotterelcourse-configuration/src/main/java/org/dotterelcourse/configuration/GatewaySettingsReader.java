package org.dotterelcourse.configuration;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses and validates the settings file of a gateway process, and reports all findings together. */
public final class GatewaySettingsReader {
    private static final String DAEMON = "daemon";
    private static final String LISTEN = "listen";
    private static final String PLATFORM = "platform";
    private static final String CONFIGURATION = "configuration";
    private static final String REPEATS = "repeats";
    private static final String SELECTION = "selection";
    private static final Map<String, List<String>> KEYS = keys();
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_MILLI = 1_000_000;
    private static final ValueType<Double> SECONDS_TYPE = ValueType.decimal(0.001, 86_400);
    private static final double MAX_MILLIS = 3_600_000;
    private static final ValueType<Double> MILLIS_TYPE = ValueType.decimal(100, MAX_MILLIS);
    /** Default where no time is set: the shortest time that any deployment requires. */
    private static final double DEFAULT_CHANGES_WITHIN_MILLIS = 2_000;

    private static final ValueType<Double> CAPACITY_TYPE = ValueType.decimal(0.001, 1_024);

    /** A longer step would delay the events of all streams by more than their shortest gap target allows. */
    private static final ValueType<Double> STEP_MILLIS_TYPE = ValueType.decimal(0.5, 50);

    /** Messages above 2 MiB are not sent, so a larger threshold would have no effect. */
    private static final ValueType<Long> COMPRESS_BYTES_TYPE = ValueType.integer(1_024, 2 << 20);

    private static final ValueType<Double> COUNT_TYPE = ValueType.decimal(0, 1_000_000);

    /**
     * Reads a settings file.
     *
     * @param name the file's name, used in findings
     * @param ini the settings as INI text
     * @return the settings, or all findings
     */
    public Checked<GatewaySettings> read(String name, String ini) {
        Findings findings = new Findings();
        SettingsSections sections = SettingsSections.read(name, ini, KEYS, findings);
        SectionReader daemon = sections.section(DAEMON);
        SectionReader listen = sections.section(LISTEN);
        SectionReader platform = sections.section(PLATFORM);
        SectionReader repeats = sections.section(REPEATS);
        SectionReader selection = sections.section(SELECTION);
        GatewaySettings settings = GatewaySettings.builder()
                .name(daemon.required("name", ValueType.NAME))
                .dataCentre(daemon.required("data-centre", ValueType.NAME))
                .region(daemon.required("region", ValueType.NAME))
                .capacityCores(daemon.optional("capacity-share", CAPACITY_TYPE, 1.0)
                        * daemon.optional("capacity-cores", CAPACITY_TYPE, 0.0))
                .grace(seconds(daemon.required("grace-seconds", SECONDS_TYPE)))
                .clients(listen.required("clients", ValueType.ADDRESS))
                .readiness(listen.required("readiness", ValueType.ADDRESS))
                .addresses(listen.required("addresses", ValueType.ADDRESS))
                .peers(listen.required("peers", ValueType.ADDRESS))
                .relays(listen.optional("relays", ValueType.ADDRESS, ""))
                .metrics(listen.optional("metrics", ValueType.ADDRESS, ""))
                .store(platform.required("store", ValueType.ADDRESS))
                .changesWithin(shortest(
                        platform.optional("configuration-milliseconds", MILLIS_TYPE, DEFAULT_CHANGES_WITHIN_MILLIS),
                        platform.optional("leaving-milliseconds", MILLIS_TYPE, DEFAULT_CHANGES_WITHIN_MILLIS),
                        platform.optional("evacuation-milliseconds", MILLIS_TYPE, MAX_MILLIS)))
                .configurationUpdate(configurationUpdate(platform, sections.section(CONFIGURATION)))
                .seeds(platform.optional("seeds", ValueType.ADDRESSES, List.of()))
                .repeatRatio(repeats.required("ratio", COUNT_TYPE))
                .repeatExtra(repeats.required("extra", COUNT_TYPE))
                .repeatWindow(seconds(repeats.required("window-seconds", SECONDS_TYPE)))
                .measuredSpeeds(selection.optional("measured-speeds", ValueType.BOOLEAN, true))
                .separateStreams(selection.optional("separate-streams", ValueType.BOOLEAN, true))
                .build();
        return findings.isEmpty() ? new Checked.Valid<>(settings) : findings.toInvalid(List.copyOf(KEYS.keySet()));
    }

    private static Duration seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
    }

    private static ConfigurationUpdate configurationUpdate(SectionReader platform, SectionReader configuration) {
        ConfigurationUpdate byDefault = ConfigurationUpdate.DEFAULT;
        double withinMillis =
                platform.optional("configuration-milliseconds", MILLIS_TYPE, DEFAULT_CHANGES_WITHIN_MILLIS);
        double stepMillis = configuration.optional(
                "step-milliseconds", STEP_MILLIS_TYPE, (double) byDefault.step().toMillis());
        long compressAboveBytes = configuration.optional(
                "compress-above-bytes", COMPRESS_BYTES_TYPE, (long) byDefault.compressAboveBytes());
        return new ConfigurationUpdate(shortest(withinMillis), ofMillis(stepMillis), (int) compressAboveBytes);
    }

    private static Duration ofMillis(double millis) {
        return Duration.ofNanos(Math.round(millis * NANOS_PER_MILLI));
    }

    private static Duration shortest(double... millis) {
        return Duration.ofMillis(Math.round(Arrays.stream(millis).min().orElseThrow()));
    }

    private static Map<String, List<String>> keys() {
        Map<String, List<String>> keys = new LinkedHashMap<>();
        keys.put(DAEMON, List.of("name", "data-centre", "region", "grace-seconds", "capacity-share", "capacity-cores"));
        keys.put(LISTEN, List.of("clients", "readiness", "addresses", "peers", "relays", "metrics"));
        keys.put(
                PLATFORM,
                List.of(
                        "store",
                        "configuration-milliseconds",
                        "leaving-milliseconds",
                        "evacuation-milliseconds",
                        "seeds"));
        keys.put(CONFIGURATION, List.of("step-milliseconds", "compress-above-bytes"));
        keys.put(REPEATS, List.of("ratio", "extra", "window-seconds"));
        keys.put(SELECTION, List.of("measured-speeds", "separate-streams"));
        return keys;
    }
}
