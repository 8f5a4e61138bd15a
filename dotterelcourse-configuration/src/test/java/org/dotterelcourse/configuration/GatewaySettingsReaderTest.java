package org.dotterelcourse.configuration;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class GatewaySettingsReaderTest {
    private static final String VALID = """
            [daemon]
            name = edge-1
            data-centre = a
            region = r
            grace-seconds = 8
            [listen]
            clients = 10.0.0.1:8227
            readiness = 10.0.0.1:8220
            addresses = 10.0.0.1:8224
            peers = 10.0.0.1:8229
            [platform]
            store = 10.9.0.1:8223
            configuration-milliseconds = 4000
            leaving-milliseconds = 3000
            seeds = 10.0.0.1:8229,10.0.0.2:8229
            [repeats]
            ratio = 0.2
            extra = 56
            window-seconds = 10
            """;

    private final GatewaySettingsReader reader = new GatewaySettingsReader();

    @Test
    void readsEveryKey() {
        assertThat(reader.read("f", VALID)).isInstanceOfSatisfying(Checked.Valid.class, valid -> {
            GatewaySettings settings = (GatewaySettings) valid.value();
            assertThat(settings.grace()).isEqualTo(Duration.ofSeconds(8));
            assertThat(settings.seeds()).isEqualTo(List.of("10.0.0.1:8229", "10.0.0.2:8229"));
            assertThat(settings.repeatRatio()).isEqualTo(0.2);
            assertThat(settings.store()).isEqualTo("10.9.0.1:8223");
            assertThat(settings.changesWithin()).isEqualTo(Duration.ofSeconds(3));
        });
    }

    // Settings files written before this section was introduced must select workers by their speeds as well.
    @Test
    void measuredSpeedsAndSeparateStreamsAreOnUnlessSetOtherwise() {
        assertThat(reader.read("f", VALID)).isInstanceOfSatisfying(Checked.Valid.class, valid -> {
            assertThat(((GatewaySettings) valid.value()).measuredSpeeds()).isTrue();
            assertThat(((GatewaySettings) valid.value()).separateStreams()).isTrue();
        });
        String off = VALID + "[selection]\nmeasured-speeds = false\nseparate-streams = false\n";
        assertThat(reader.read("f", off)).isInstanceOfSatisfying(Checked.Valid.class, valid -> {
            assertThat(((GatewaySettings) valid.value()).measuredSpeeds()).isFalse();
            assertThat(((GatewaySettings) valid.value()).separateStreams()).isFalse();
        });
        String invalid = VALID + "[selection]\nmeasured-speeds = perhaps\n";
        assertThat(reader.read("f", invalid)).isInstanceOf(Checked.Invalid.class);
    }

    // Evacuations may require a shorter time than configurations. A deployment without evacuations sets no time for
    // them.
    @Test
    void theShortestConfiguredTimeAppliesToAllChanges() {
        String text = VALID.replace("seeds =", "evacuation-milliseconds = 2500\nseeds =");
        assertThat(reader.read("f", text))
                .isInstanceOfSatisfying(
                        Checked.Valid.class,
                        valid -> assertThat(((GatewaySettings) valid.value()).changesWithin())
                                .isEqualTo(Duration.ofMillis(2_500)));
    }

    @Test
    void changesMustBeInForceWithinTwoSecondsByDefault() {
        String text =
                VALID.replace("configuration-milliseconds = 4000\n", "").replace("leaving-milliseconds = 3000\n", "");
        assertThat(reader.read("f", text))
                .isInstanceOfSatisfying(
                        Checked.Valid.class,
                        valid -> assertThat(((GatewaySettings) valid.value()).changesWithin())
                                .isEqualTo(Duration.ofSeconds(2)));
    }

    @Test
    void theTakeoverOfConfigurationsIsSetInItsOwnSection() {
        String text = VALID + "[configuration]\nstep-milliseconds = 1.5\ncompress-above-bytes = 4096\n";
        assertThat(reader.read("f", text))
                .isInstanceOfSatisfying(
                        Checked.Valid.class,
                        valid -> assertThat(((GatewaySettings) valid.value()).configurationUpdate())
                                .isEqualTo(new ConfigurationUpdate(
                                        Duration.ofMillis(4_000), Duration.ofNanos(1_500_000), 4_096)));
        assertThat(reader.read("f", VALID.replace("configuration-milliseconds = 4000\n", "")))
                .isInstanceOfSatisfying(
                        Checked.Valid.class,
                        valid -> assertThat(((GatewaySettings) valid.value()).configurationUpdate())
                                .isEqualTo(ConfigurationUpdate.DEFAULT));
    }

    // The platform writes computed values with all digits of a double. Rejecting them would prevent every gateway
    // process of the deployment from starting.
    @ParameterizedTest
    @CsvSource({"37.45454545454545,37.45454545454545", "0.10000000000000000555,0.1", "5.6E+1,56", "1e-05,0.00001"})
    void readsFractionsWithAllDigitsOrAnExponent(String written, double value) {
        String text = VALID.replace("extra = 56", "extra = " + written);
        assertThat(reader.read("f", text))
                .isInstanceOfSatisfying(
                        Checked.Valid.class,
                        valid -> assertThat(((GatewaySettings) valid.value()).repeatExtra())
                                .isEqualTo(value));
    }

    @Test
    void allowsAnEmptyListOfSeeds() {
        String text = VALID.replace("10.0.0.1:8229,10.0.0.2:8229", "");
        assertThat(reader.read("f", text)).isInstanceOf(Checked.Valid.class);
    }

    @Test
    void reportsAllFindingsTogether() {
        String text = VALID.replace("10.9.0.1:8223", "store.example:1")
                .replace("ratio = 0.2\n", "")
                .replace("10.0.0.2:8229", "x")
                .replace("readiness", "readyness")
                .replace("[repeats]", "[repeats]\nmore = 1");
        assertThat(reader.read("f", text))
                .isInstanceOfSatisfying(
                        Checked.Invalid.class,
                        invalid -> assertThat(invalid.findings().toString())
                                .contains(
                                        "[listen] readyness",
                                        "[listen] readiness",
                                        "[platform] store",
                                        "[platform] seeds")
                                .contains("[repeats] ratio", "[repeats] more"));
    }

    @Test
    void theCapacityIsTheProductOfShareAndCores() {
        String text = VALID.replace("grace-seconds", "capacity-share = 0.75\ncapacity-cores = 2\ngrace-seconds");
        assertThat(reader.read("f", text))
                .isInstanceOfSatisfying(
                        Checked.Valid.class,
                        valid -> assertThat(((GatewaySettings) valid.value()).capacityCores())
                                .isEqualTo(1.5));
    }

    // Guards against clients being distributed by a wrong capacity where a deployment sets none.
    @Test
    void theCapacityIsUnknownIfTheNumberOfCoresIsNotSet() {
        String text = VALID.replace("grace-seconds", "capacity-share = 0.75\ngrace-seconds");
        assertThat(reader.read("f", text))
                .isInstanceOfSatisfying(
                        Checked.Valid.class,
                        valid -> assertThat(((GatewaySettings) valid.value()).capacityCores())
                                .isZero());
    }
}
