package org.dotterelcourse.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.dotterelcourse.standins.ConfigurationServiceStandIn;
import org.dotterelcourse.standins.EngineStandIn;
import org.dotterelcourse.standins.FaultProxy;
import org.dotterelcourse.standins.LoadGenerator;
import org.dotterelcourse.standins.LoadResult;
import org.dotterelcourse.standins.LoadSpec;
import org.dotterelcourse.standins.ProxyLink;
import org.dotterelcourse.standins.RequestCount;
import org.dotterelcourse.standins.ServiceStandIn;
import org.dotterelcourse.standins.VmListStandIn;

/**
 * Daemons as real processes, with stand-ins for the outside systems in this process. Daemons reach each upstream through
 * a link of the fault proxy that has the worker's name.
 */
final class Fleet implements AutoCloseable {
    static final long SEED = 20261202;

    private final Path directory;
    private final FaultProxy proxy = new FaultProxy(SEED);
    private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
    private final Map<String, ServiceStandIn> services = new LinkedHashMap<>();
    private final Map<String, String> engineLinks = new LinkedHashMap<>();
    private final Map<String, String> serviceLinks = new LinkedHashMap<>();
    private final ConfigurationServiceStandIn configuration =
            ConfigurationServiceStandIn.builder().build().start();
    private final VmListStandIn vms =
            VmListStandIn.builder().lag(Duration.ofMillis(200)).build().start();
    private final List<DaemonProcess> daemons = new ArrayList<>();
    private int named;

    /** Starts the stand-ins and publishes the first document; daemons are started apart. */
    Fleet(int engineCount, int serviceCount) {
        System.out.println("seed " + SEED);
        try {
            directory = Files.createTempDirectory(Path.of("..", "target", "dotterelcourse-it"), "fleet");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        for (int i = 1; i <= engineCount; i++) {
            EngineStandIn engine = EngineStandIn.builder()
                    .model("sabla-bond", "3")
                    .limits(16, 64)
                    .reportLag(Duration.ofMillis(200))
                    .seed(SEED + i)
                    .build()
                    .start();
            engines.put("llm-" + i, engine);
            engineLinks.put("llm-" + i, proxy.tcp("llm-" + i, 0, engine.address()));
        }
        for (int i = 1; i <= serviceCount; i++) {
            ServiceStandIn service =
                    ServiceStandIn.builder().seed(SEED + i).build().start();
            services.put("api-" + i, service);
            serviceLinks.put("api-" + i, proxy.tcp("api-" + i, 0, service.address()));
        }
        publishVms();
        configuration.publish(ConfigurationServiceStandIn.Kind.WHOLE, Documents.document(engineLinks, serviceLinks));
    }

    /** Starts daemons and waits until they serve and know one another. */
    Fleet daemons(int count) {
        List<DaemonProcess> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            started.add(launch());
        }
        for (DaemonProcess each : started) {
            join(each);
        }
        awaitServing();
        return this;
    }

    /** Starts one more daemon and waits until it listens. */
    DaemonProcess add() {
        return join(launch());
    }

    /** Waits until all running daemons serve and know one another. */
    void awaitServing() {
        for (DaemonProcess each : daemons) {
            Await.until(each.name() + " serves", () -> each.operators("/ready").statusCode() == 200);
            Await.until(each.name() + " knows all", () -> each.aliveMembers() == daemons.size());
        }
    }

    /** Takes a daemon out of the list of VMs, as the platform does after it has gone. */
    void remove(DaemonProcess daemon) {
        daemons.remove(daemon);
        publishVms();
    }

    List<DaemonProcess> daemons() {
        return List.copyOf(daemons);
    }

    FaultProxy proxy() {
        return proxy;
    }

    EngineStandIn engine(int number) {
        return engines.get("llm-" + number);
    }

    ConfigurationServiceStandIn configuration() {
        return configuration;
    }

    /** Starts a load on all daemons; it runs beside the test. */
    CompletableFuture<LoadResult> load(double ratePerSecond, double seconds, int leastTokens, int mostTokens) {
        List<String> callers = daemons.stream().map(DaemonProcess::callers).toList();
        List<String> counters = new ArrayList<>();
        engines.values().forEach(each -> counters.add(each.address()));
        services.values().forEach(each -> counters.add(each.address()));
        LoadSpec spec = LoadSpec.parse("{\"daemons\":" + array(callers) + ",\"counters\":" + array(counters)
                + ",\"ratePerSecond\":" + ratePerSecond + ",\"seconds\":" + seconds + ",\"seed\":" + SEED
                + ",\"classes\":" + Documents.loadClasses(leastTokens, mostTokens) + "}");
        return CompletableFuture.supplyAsync(() -> {
            try {
                LoadResult result = new LoadGenerator(spec).run();
                System.out.println(result.table());
                return result;
            } catch (InterruptedException e) {
                throw new CompletionException(e);
            }
        });
    }

    /** How often each request ran at all services together. */
    Map<String, Integer> runs() {
        Map<String, Integer> all = new LinkedHashMap<>();
        services.values().forEach(each -> each.runs().forEach((id, count) -> all.merge(id, count, Integer::sum)));
        return all;
    }

    /** Waits until engines generate tokens for a number of requests at once. */
    void awaitRunning(int requests) {
        Await.until(requests + " requests run", () -> running() >= requests);
    }

    /** Makes all connections that are open between daemons and upstreams silent for good; new ones work. */
    void silenceOpenConnections() {
        engineLinks.keySet().forEach(each -> proxy.link(each).silenceOpen(ProxyLink.Direction.BOTH));
        serviceLinks.keySet().forEach(each -> proxy.link(each).silenceOpen(ProxyLink.Direction.BOTH));
    }

    /** How many requests all engines together work on. */
    int running() {
        return engines.values().stream().mapToInt(EngineStandIn::running).sum();
    }

    /** How many tokens all engines together have generated. */
    long generated() {
        return engines.values().stream()
                .flatMap(each -> each.stats().values().stream())
                .mapToLong(RequestCount::generated)
                .sum();
    }

    @Override
    public void close() {
        daemons.forEach(DaemonProcess::kill);
        proxy.close();
        engines.values().forEach(EngineStandIn::close);
        services.values().forEach(ServiceStandIn::close);
        configuration.close();
        vms.close();
    }

    private DaemonProcess launch() {
        named++;
        String name = "entry-" + named;
        String settings = Documents.settings(name, configuration.address(), vms.address());
        return DaemonProcess.start(name, settings, directory);
    }

    private DaemonProcess join(DaemonProcess daemon) {
        daemons.add(daemon);
        daemon.awaitReady();
        publishVms();
        return daemon;
    }

    private void publishVms() {
        List<VmListStandIn.Vm> list = new ArrayList<>();
        for (DaemonProcess each : daemons) {
            list.add(vm(each.name(), "entry", null, each.peers()));
        }
        engineLinks.forEach((name, address) -> list.add(vm(name, "upstream", "sabla-llm", address)));
        serviceLinks.forEach((name, address) -> list.add(vm(name, "upstream", "counter-api", address)));
        vms.set(list);
    }

    private static VmListStandIn.Vm vm(String name, String kind, String upstream, String address) {
        return new VmListStandIn.Vm(name, kind, upstream, address, "ruwi-hall", "muscat", "live");
    }

    private static String array(List<String> texts) {
        return "[\"" + String.join("\",\"", texts) + "\"]";
    }
}
