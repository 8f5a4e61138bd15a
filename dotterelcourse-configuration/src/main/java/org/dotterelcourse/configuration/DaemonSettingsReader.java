package org.dotterelcourse.configuration;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses and validates the settings file of a daemon, and reports all findings together. */
public final class DaemonSettingsReader {
    private static final String NAME = "name";
    private static final String DATA_CENTRE = "data-centre";
    private static final String REGION = "region";
    private static final String AUDIT_FILE = "audit-file";
    private static final String DRAIN_LIMIT = "drain-limit-seconds";
    private static final String ADDRESS = "address";
    private static final String CALLERS_PORT = "callers-port";
    private static final String OPERATORS_PORT = "operators-port";
    private static final String PEERS_PORT = "peers-port";
    private static final String CONFIGURATION_SERVICE = "configuration-service";
    private static final String VM_LIST = "vm-list";
    private static final String READS_PER_SECOND = "reads-per-second";
    private static final String MAX_BODY_BYTES = "max-body-bytes";
    private static final String TIME_TO_LIVE = "addresses-time-to-live-seconds";

    private static final Map<String, List<String>> KEYS = keys();

    private static final ValueType<Long> PORT_TYPE = ValueType.integer(0, 65_535);
    private static final long DEFAULT_CALLERS_PORT = 8080;
    private static final long DEFAULT_OPERATORS_PORT = 9090;
    private static final long DEFAULT_PEERS_PORT = 7946;
    private static final double DEFAULT_READS_PER_SECOND = 5;
    private static final double MIN_READS_PER_SECOND = 0.1;
    private static final double MAX_READS_PER_SECOND = 2_000;
    private static final long LOWEST_MAX_BODY_BYTES = 1_024;
    private static final long HIGHEST_MAX_BODY_BYTES = 64L << 20;
    private static final long DEFAULT_MAX_BODY_BYTES = 1L << 20;
    private static final long DEFAULT_TIME_TO_LIVE_SECONDS = 20;
    private static final long MAX_TIME_TO_LIVE_SECONDS = 3_600;
    private static final long DEFAULT_DRAIN_LIMIT_SECONDS = 300;
    private static final long MAX_DRAIN_LIMIT_SECONDS = 86_400;

    /**
     * Reads a settings file.
     *
     * @param name the file's name, used in findings
     * @param ini the settings as INI text
     * @return the settings, or all findings
     */
    public Checked<DaemonSettings> read(String name, String ini) {
        Findings findings = new Findings();
        SettingsSections sections = SettingsSections.read(name, ini, KEYS, findings);
        DaemonSettings settings = settings(sections);
        return findings.isEmpty() ? new Checked.Valid<>(settings) : findings.toInvalid(List.copyOf(KEYS.keySet()));
    }

    private static DaemonSettings settings(SettingsSections sections) {
        SectionReader daemon = sections.section("daemon");
        SectionReader listen = sections.section("listen");
        SectionReader platform = sections.section("platform");
        SectionReader edge = sections.section("edge");
        long drainLimitSeconds = daemon.optional(
                DRAIN_LIMIT, ValueType.integer(1, MAX_DRAIN_LIMIT_SECONDS), DEFAULT_DRAIN_LIMIT_SECONDS);
        long timeToLiveSeconds = edge.optional(
                TIME_TO_LIVE, ValueType.integer(1, MAX_TIME_TO_LIVE_SECONDS), DEFAULT_TIME_TO_LIVE_SECONDS);
        DaemonSettings settings = new DaemonSettings(
                daemon.required(NAME, ValueType.NAME),
                listen.required(ADDRESS, ValueType.IP_ADDRESS),
                daemon.required(DATA_CENTRE, ValueType.NAME),
                daemon.required(REGION, ValueType.NAME),
                listen.optional(CALLERS_PORT, PORT_TYPE, DEFAULT_CALLERS_PORT).intValue(),
                listen.optional(OPERATORS_PORT, PORT_TYPE, DEFAULT_OPERATORS_PORT)
                        .intValue(),
                listen.optional(PEERS_PORT, PORT_TYPE, DEFAULT_PEERS_PORT).intValue(),
                platform.required(CONFIGURATION_SERVICE, ValueType.ADDRESS),
                platform.required(VM_LIST, ValueType.ADDRESS),
                platform.optional(
                        READS_PER_SECOND,
                        ValueType.decimal(MIN_READS_PER_SECOND, MAX_READS_PER_SECOND),
                        DEFAULT_READS_PER_SECOND),
                edge.optional(
                                MAX_BODY_BYTES,
                                ValueType.integer(LOWEST_MAX_BODY_BYTES, HIGHEST_MAX_BODY_BYTES),
                                DEFAULT_MAX_BODY_BYTES)
                        .intValue(),
                Duration.ofSeconds(timeToLiveSeconds),
                Duration.ofSeconds(drainLimitSeconds),
                daemon.optional(AUDIT_FILE, ValueType.FILE, ""));
        checkPorts(listen, settings);
        return settings;
    }

    private static void checkPorts(SectionReader listen, DaemonSettings settings) {
        if (settings.operatorsPort() != 0 && settings.operatorsPort() == settings.callersPort()) {
            listen.add(OPERATORS_PORT, "a port other than " + CALLERS_PORT, "the same");
        }
        boolean peersPortConflicts =
                settings.peersPort() == settings.callersPort() || settings.peersPort() == settings.operatorsPort();
        if (settings.peersPort() != 0 && peersPortConflicts) {
            listen.add(PEERS_PORT, "a port other than " + CALLERS_PORT + " and " + OPERATORS_PORT, "one of them");
        }
    }

    private static Map<String, List<String>> keys() {
        Map<String, List<String>> keys = new LinkedHashMap<>();
        keys.put("daemon", List.of(NAME, DATA_CENTRE, REGION, AUDIT_FILE, DRAIN_LIMIT));
        keys.put("listen", List.of(ADDRESS, CALLERS_PORT, OPERATORS_PORT, PEERS_PORT));
        keys.put("platform", List.of(CONFIGURATION_SERVICE, VM_LIST, READS_PER_SECOND));
        keys.put("edge", List.of(MAX_BODY_BYTES, TIME_TO_LIVE));
        return keys;
    }
}
