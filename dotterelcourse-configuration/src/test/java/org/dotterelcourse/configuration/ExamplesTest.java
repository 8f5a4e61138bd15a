package org.dotterelcourse.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @CsvSource({
        "sabla, sabla-llm, 13, counter-api, 3, bank-1, example-key-bank-1",
        "van-dorsselaer, kasmodel, 6, kasboek, 3, parents-app, example-key-parents-app"
    })
    void anExampleDocumentContainsTheWorkersAndCustomersOfItsDeployment(
            String deployment,
            String engines,
            int engineCount,
            String services,
            int serviceCount,
            String customer,
            String key)
            throws IOException {
        Configuration configuration = document(deployment);

        assertThat(configuration.customers()).hasSize(10);
        assertThat(configuration.upstream(engines).orElseThrow().workers()).hasSize(engineCount);
        assertThat(configuration.upstream(services).orElseThrow().workers()).hasSize(serviceCount);
        assertThat(configuration.customerOfKey(ConfigurationText.sha256(key)))
                .map(Customer::name)
                .contains(customer);
    }

    @ParameterizedTest
    @ValueSource(strings = {"sabla", "van-dorsselaer"})
    void anExamplePatchAppliesToItsDocument(String deployment) throws IOException {
        Configuration base = document(deployment);

        Checked<Configuration> patched =
                new IniConfigurationReader().fold(base, 2, "patch.ini", text(deployment, "patch.ini"));

        assertThat(patched).isInstanceOf(Checked.Valid.class);
        assertThat(Texts.valid(patched).digest()).isNotEqualTo(base.digest());
    }

    @ParameterizedTest
    @ValueSource(strings = {"sabla", "van-dorsselaer"})
    void exampleDaemonSettingsAreValid(String deployment) throws IOException {
        Checked<DaemonSettings> settings =
                new DaemonSettingsReader().read("daemon.ini", text(deployment, "daemon.ini"));

        assertThat(Texts.valid(settings).name()).isEqualTo("entry-1");
    }

    private static Configuration document(String deployment) throws IOException {
        String text = text(deployment, "configuration.ini");
        return Texts.valid(new IniConfigurationReader().read(1, "configuration.ini", text));
    }

    private static String text(String deployment, String file) throws IOException {
        return Files.readString(EXAMPLES.resolve(deployment).resolve(file));
    }
}
