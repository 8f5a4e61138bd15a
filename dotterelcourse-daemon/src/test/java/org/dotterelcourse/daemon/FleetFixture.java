package org.dotterelcourse.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.dotterelcourse.configuration.Checked;
import org.dotterelcourse.configuration.DaemonSettings;
import org.dotterelcourse.configuration.DaemonSettingsReader;
import org.dotterelcourse.standins.ConfigurationServiceStandIn;
import org.dotterelcourse.standins.EngineStandIn;
import org.dotterelcourse.standins.ServiceStandIn;
import org.dotterelcourse.standins.VmListStandIn;

import static org.assertj.core.api.Assertions.assertThat;

/** Fleet in this process: two engines, two plain services, the platform's stand-ins and a given number of daemons. */
final class FleetFixture implements AutoCloseable {
    static final String KEY = "test-key";

    /** SHA-256 of {@link #KEY}. */
    private static final String KEY_SHA256 = "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef";

    final EngineStandIn[] engines = new EngineStandIn[2];
    final ServiceStandIn[] services = new ServiceStandIn[2];
    final ConfigurationServiceStandIn configuration =
            ConfigurationServiceStandIn.builder().build().start();
    final List<Daemon> daemons = new ArrayList<>();
    private final VmListStandIn vms =
            VmListStandIn.builder().lag(Duration.ZERO).build().start();
    private final HttpClient http = HttpClient.newHttpClient();

    FleetFixture(int daemonCount) {
        for (int i = 0; i < 2; i++) {
            engines[i] = EngineStandIn.builder().model("bond", "1").build().start();
            services[i] = ServiceStandIn.builder().build().start();
        }
        configuration.publish(ConfigurationServiceStandIn.Kind.WHOLE, document());
        for (int i = 0; i < daemonCount; i++) {
            daemons.add(new Daemon(settings(i)));
            assertThat(daemons.get(i).start()).isEmpty();
        }
        publishVmList();
        await(() -> daemons.stream().allMatch(this::isReady));
    }

    /** Whether the daemon is ready, sees all members and reports the same cell owners as the first daemon. */
    private boolean isReady(Daemon daemon) {
        String owners = get(daemon.operatorsPort(), "/owners");
        return get(daemon.operatorsPort(), "/ready").equals("ready\n")
                && get(daemon.operatorsPort(), "/members").split("\"ALIVE\"", -1).length == daemons.size() + 1
                && owners.equals(get(daemons.get(0).operatorsPort(), "/owners").replaceAll("\"(waiting|held)\":1", "x"))
                && !owners.contains("\"owner\":\"\"");
    }

    private void publishVmList() {
        List<VmListStandIn.Vm> list = new ArrayList<>();
        for (int i = 0; i < daemons.size(); i++) {
            String address = "127.0.0.1:" + daemons.get(i).peersPort();
            list.add(new VmListStandIn.Vm("entry-" + i, "entry", null, address, "dc-" + i, "here", "live"));
        }
        vms.set(list);
    }

    HttpRequest.Builder call(int daemon, String path) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + daemons.get(daemon).callersPort() + path))
                .timeout(Duration.ofSeconds(30))
                .header("Authorization", "Bearer " + KEY);
    }

    HttpRequest.Builder chat(int daemon, String requestClass, String prompt, boolean stream) {
        String body = "{\"stream\":" + stream + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
        return call(daemon, "/v1/chat/completions")
                .header("X-Request-Class", requestClass)
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    HttpRequest.Builder service(int daemon, String requestClass, String id) {
        return call(daemon, "/v1/services/counter/pay")
                .header("X-Request-Class", requestClass)
                .header("X-Request-Id", id)
                .POST(HttpRequest.BodyPublishers.ofString("amount"));
    }

    HttpResponse<String> send(HttpRequest.Builder request) {
        try {
            return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    HttpResponse<InputStream> open(HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
    }

    String get(int port, String path) {
        return send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)))
                .body();
    }

    int runCount(String id) {
        return services[0].runs().getOrDefault(id, 0) + services[1].runs().getOrDefault(id, 0);
    }

    /** Whether every engine has only this model version loaded. */
    boolean haveOnlyVersion(String version) {
        String expected = "\"models\":[{\"model\":\"bond\",\"version\":\"" + version + "\"}]";
        for (EngineStandIn engine : engines) {
            String load = send(HttpRequest.newBuilder(URI.create("http://" + engine.address() + "/v1/load")))
                    .body();
            if (!load.contains(expected)) {
                return false;
            }
        }
        return true;
    }

    /** Waits for a condition; fails after 30 s, a limit far above the usual time. */
    static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("the condition came true in time").isLessThan(deadlineNanos);
            Thread.onSpinWait();
        }
    }

    private DaemonSettings settings(int i) {
        String ini = "[daemon]\nname = entry-" + i + "\ndata-centre = dc-" + i + "\nregion = here\n"
                + "drain-limit-seconds = 20\n"
                + "[listen]\naddress = 127.0.0.1\ncallers-port = 0\noperators-port = 0\npeers-port = 0\n"
                + "[platform]\nconfiguration-service = " + configuration.address() + "\nvm-list = " + vms.address()
                + "\n[edge]\nmax-body-bytes = 2000\naddresses-time-to-live-seconds = 1\n";
        Checked<DaemonSettings> checked = new DaemonSettingsReader().read("test", ini);
        assertThat(checked).isInstanceOf(Checked.Valid.class);
        return ((Checked.Valid<DaemonSettings>) checked).value();
    }

    private String document() {
        StringBuilder ini = new StringBuilder();
        ini.append(requestClass("question", "llm", "2", "true")).append(requestClass("signed", "llm", "1", "false"));
        ini.append(requestClass("check", "counter", "1", "true"))
                .append(requestClass("payout", "counter", "1", "false"));
        ini.append("[customer bank]\nkey-sha256 = " + KEY_SHA256 + "\nclasses = question, signed, check, payout\n"
                + "default-class = question\nrequests-per-second = 1000\ntokens-per-second = 100000\n"
                + "[upstream llm]\nkind = engine\nregion = here\nfencing = checked\nconcurrency = 8\n"
                + "loads-per-minute = 600\n"
                + "[upstream counter]\nkind = service\nregion = here\nconcurrency = 8\n");
        for (int i = 0; i < 2; i++) {
            ini.append(worker("llm-" + i, "llm", engines[i].address(), i));
            ini.append(worker("counter-" + i, "counter", services[i].address(), i));
        }
        return ini.toString();
    }

    private static String requestClass(String name, String upstream, String tier, String idempotent) {
        boolean engine = upstream.equals("llm");
        return "[class " + name + "]\nupstream = " + upstream + "\ntier = " + tier + "\ntarget-ms = 5000\nidempotent = "
                + idempotent + "\nlate-is-useless = false\nminimum-share = 0.1\nmax-waiting = 100\n"
                + (engine ? "model = bond\nversion = 1\ntoken-interval-ms = 100\nmax-output-tokens = 400\n" : "");
    }

    private static String worker(String name, String upstream, String address, int i) {
        return "[worker " + name + "]\nupstream = " + upstream + "\naddress = " + address + "\ndata-centre = dc-" + i
                + "\n";
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::stop);
        for (int i = 0; i < 2; i++) {
            engines[i].close();
            services[i].close();
        }
        configuration.close();
        vms.close();
    }

    static String text(InputStream body) throws IOException {
        return new String(body.readAllBytes(), StandardCharsets.UTF_8);
    }
}
