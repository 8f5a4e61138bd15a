package org.dotterelcourse.configuration;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DaemonSettingsReaderTest {
    private static final String MINIMAL = """
            [daemon]
            name = entry-1
            data-centre = hall
            region = north
            [listen]
            address = 10.0.0.1
            [platform]
            configuration-service = 10.0.0.2:80
            vm-list = 10.0.0.3:80
            """;

    private final DaemonSettingsReader reader = new DaemonSettingsReader();

    @Test
    void omittedKeysHaveTheirDefaults() {
        DaemonSettings settings = Texts.valid(reader.read("d.ini", MINIMAL));

        assertThat(settings)
                .isEqualTo(DaemonSettings.builder()
                        .name("entry-1")
                        .address("10.0.0.1")
                        .dataCentre("hall")
                        .region("north")
                        .callersPort(8080)
                        .operatorsPort(9090)
                        .peersPort(7946)
                        .configurationService("10.0.0.2:80")
                        .vmList("10.0.0.3:80")
                        .build());
        assertThat(settings.drainLimit()).isEqualTo(Duration.ofSeconds(300));
    }

    @Test
    void anEmptyFileIsReportedWithEveryRequiredKey() {
        assertThat(Texts.findings(reader.read("d.ini", "")))
                .extracting(each -> each.section() + "/" + each.key())
                .containsExactly(
                        "daemon/name",
                        "daemon/data-centre",
                        "daemon/region",
                        "listen/address",
                        "platform/configuration-service",
                        "platform/vm-list");
    }

    @Test
    void allFindingsAreReportedTogetherWithTheNearestValidNames() {
        String text = MINIMAL.replace("region", "regoin").replace("10.0.0.1", "localhost")
                + "reads-per-second = 0\n[egde]\n[edge]\nmax-body-bytes = 12\n";

        List<Finding> findings = Texts.findings(reader.read("d.ini", text));

        assertThat(findings)
                .extracting(each -> each.section() + "/" + each.key() + "/" + each.found())
                .containsExactly(
                        "daemon/regoin/regoin (nearest: region)",
                        "daemon/region/nothing",
                        "listen/address/localhost",
                        "platform/reads-per-second/0",
                        "edge/max-body-bytes/12",
                        "egde//egde (nearest: edge)");
    }

    /**
     * Two ports are configured with the same number. Without this check, the daemon would start, serve callers, and
     * fail only when it opens the listener for operators.
     */
    @Test
    void listenersMayNotShareAPortButEachMayUseAnyFreePort() {
        String samePort = MINIMAL.replace("[platform]", "callers-port = 9090\npeers-port = 9090\n[platform]");
        String anyFreePort =
                MINIMAL.replace("[platform]", "callers-port = 0\noperators-port = 0\npeers-port = 0\n[platform]");

        assertThat(Texts.findings(reader.read("d.ini", samePort)))
                .extracting(Finding::key)
                .containsExactly("operators-port", "peers-port");
        assertThat(Texts.valid(reader.read("d.ini", anyFreePort)).callersPort()).isZero();
    }
}
