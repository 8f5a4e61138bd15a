package org.dotterelcourse.configuration;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GatewaySettingsReaderTest {
    private static final String RIGHT = """
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
            seeds = 10.0.0.1:8229,10.0.0.2:8229
            [repeats]
            ratio = 0.2
            extra = 56
            window-seconds = 10
            """;

    private final GatewaySettingsReader reader = new GatewaySettingsReader();

    @Test
    void readsEveryKey() {
        assertThat(reader.read("f", RIGHT)).isInstanceOfSatisfying(Checked.Valid.class, valid -> {
            GatewaySettings settings = (GatewaySettings) valid.value();
            assertThat(settings.grace()).isEqualTo(Duration.ofSeconds(8));
            assertThat(settings.seeds()).isEqualTo(List.of("10.0.0.1:8229", "10.0.0.2:8229"));
            assertThat(settings.repeatRatio()).isEqualTo(0.2);
            assertThat(settings.store()).isEqualTo("10.9.0.1:8223");
        });
    }

    @Test
    void allowsAnEmptyListOfSeeds() {
        String text = RIGHT.replace("10.0.0.1:8229,10.0.0.2:8229", "");
        assertThat(reader.read("f", text)).isInstanceOf(Checked.Valid.class);
    }

    @Test
    void reportsAllThatIsWrongTogether() {
        String text = RIGHT.replace("10.9.0.1:8223", "store.example:1")
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
}
