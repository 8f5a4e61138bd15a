package org.dotterelcourse.standins;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** The subcommands that start stand-ins. Each prints a line of JSON when it listens, and runs until SIGTERM. */
final class Commands {
    private Commands() {}

    static int serve(Runnable close, ObjectNode ready) throws InterruptedException {
        Runtime.getRuntime().addShutdownHook(new Thread(close, "close"));
        System.out.println(Json.text(ready));
        new CountDownLatch(1).await();
        return 0;
    }

    static int serve(StandIn part) throws InterruptedException {
        return serve(part::close, Json.object().put("ready", true).put("address", part.address()));
    }

    /** Options that every stand-in has. */
    public abstract static class Listening implements Callable<Integer> {
        @Option(name = "--port", description = "port on 127.0.0.1, 0 for any free one")
        int port;
    }

    /** A model engine. */
    @Command(name = "engine", description = "A model engine")
    public static final class Engine extends Listening {
        @Option(name = "--batch", description = "how many sequences run at once")
        private int batch = 16;

        @Option(name = "--waiting", description = "how many requests wait beyond that")
        private int waiting = 32;

        @Option(name = "--step-micros", description = "time of a decoding step of an empty batch")
        private long stepMicros = 4_000;

        @Option(name = "--per-sequence-micros", description = "what each sequence in the batch adds to a step")
        private long perSequenceMicros = 250;

        @Option(name = "--prefill-token-micros", description = "time to prefill one uncached token")
        private long prefillMicros = 50;

        @Option(name = "--report-lag-millis", description = "how old a load report is")
        private long lagMillis = 500;

        @Option(name = "--no-fencing", description = "take orders with an old fencing number")
        private boolean noFencing;

        @Option(name = "--model", description = "NAME/VERSION loaded at the start; may be repeated")
        private List<String> models = new ArrayList<>();

        @Option(name = "--weight-store", description = "address of the weight store that a load asks")
        private String weightStore = "";

        @Override
        public Integer call() throws InterruptedException {
            EngineBuilder builder = EngineStandIn.builder()
                    .port(port)
                    .limits(batch, waiting)
                    .times(micros(stepMicros), micros(perSequenceMicros), micros(prefillMicros))
                    .reportLag(Duration.ofMillis(lagMillis))
                    .fencing(!noFencing)
                    .loading(Duration.ofMillis(500), weightStore);
            for (String each : models) {
                int slash = each.lastIndexOf('/');
                if (slash < 0) {
                    throw new IllegalArgumentException("--model takes NAME/VERSION, not " + each);
                }
                builder.model(each.substring(0, slash), each.substring(slash + 1));
            }
            return serve(builder.build().start());
        }

        private static Duration micros(long value) {
            return Duration.ofNanos(value * 1_000);
        }
    }

    /** A plain service. */
    @Command(name = "service", description = "A plain service")
    public static final class Service extends Listening {
        @Option(name = "--limit", description = "how many calls run at once")
        private int limit = 64;

        @Option(name = "--least-millis", description = "the shortest service time")
        private long leastMillis = 2;

        @Option(name = "--extra-millis", description = "the mean of the rest of the service time")
        private long extraMillis = 8;

        @Override
        public Integer call() throws InterruptedException {
            return serve(ServiceStandIn.builder()
                    .port(port)
                    .limit(limit)
                    .serviceTime(Duration.ofMillis(leastMillis), Duration.ofMillis(extraMillis))
                    .build()
                    .start());
        }
    }

    /** The configuration service. */
    @Command(name = "configuration", description = "The configuration service")
    public static final class Configuration extends Listening {
        @Option(name = "--calls-per-second", description = "the quota over all readers")
        private double callsPerSecond = 2_000;

        @Arguments(description = "INI files published as whole documents, in this order")
        private List<String> documents = new ArrayList<>();

        @Override
        public Integer call() throws Exception {
            ConfigurationServiceStandIn service = ConfigurationServiceStandIn.builder()
                    .port(port)
                    .quota(callsPerSecond)
                    .build();
            for (String each : documents) {
                String text = Files.readString(Path.of(each), StandardCharsets.UTF_8);
                service.publish(ConfigurationServiceStandIn.Kind.WHOLE, text);
            }
            return serve(service.start());
        }
    }

    /** The list of VMs. */
    @Command(name = "vms", description = "The list of VMs; set it by POST /_set")
    public static final class Vms extends Listening {
        @Option(name = "--lag-millis", description = "how late a change is seen")
        private long lagMillis = 1_000;

        @Override
        public Integer call() throws InterruptedException {
            return serve(VmListStandIn.builder()
                    .port(port)
                    .lag(Duration.ofMillis(lagMillis))
                    .build()
                    .start());
        }
    }

    /** The weight store. */
    @Command(name = "weights", description = "The weight store")
    public static final class Weights extends Listening {
        @Option(name = "--per-second", description = "reads a second over all engines")
        private double perSecond = 10;

        @Override
        public Integer call() throws InterruptedException {
            return serve(WeightStoreStandIn.builder()
                    .port(port)
                    .rate(perSecond)
                    .build()
                    .start());
        }
    }

    /** Several stand-ins in one process. */
    @Command(name = "platform", description = "Several stand-ins in one process")
    public static final class WholePlatform implements Callable<Integer> {
        @Arguments(description = "the JSON file that describes them")
        @Required
        private String file;

        @Override
        public Integer call() throws Exception {
            Platform platform = Platform.read(Path.of(file)).start();
            return serve(platform::close, platform.ready());
        }
    }

    /** The fault-injecting proxy. */
    @Command(name = "proxy", description = "A proxy that injects faults; switched by POST /links on its control port")
    public static final class Proxy extends Listening {
        @Option(name = "--tcp", description = "NAME=127.0.0.1:PORT, a TCP target; may be repeated")
        private List<String> tcp = new ArrayList<>();

        @Option(name = "--udp", description = "NAME=127.0.0.1:PORT, a UDP target; may be repeated")
        private List<String> udp = new ArrayList<>();

        @Option(name = "--seed", description = "seed of the random choices")
        private long seed = 1;

        @Override
        public Integer call() throws InterruptedException {
            FaultProxy proxy = new FaultProxy(seed);
            tcp.forEach(each -> proxy.tcp(name(each), 0, target(each)));
            udp.forEach(each -> proxy.udp(name(each), 0, target(each)));
            ProxyControl control = new ProxyControl(proxy, port).start();
            ObjectNode ready = Json.object().put("ready", true).put("address", control.address());
            ready.set("links", proxy.describe());
            return serve(
                    () -> {
                        control.close();
                        proxy.close();
                    },
                    ready);
        }

        private static String name(String pair) {
            int equals = pair.indexOf('=');
            if (equals < 1) {
                throw new IllegalArgumentException("a target is NAME=127.0.0.1:PORT, not " + pair);
            }
            return pair.substring(0, equals);
        }

        private static String target(String pair) {
            return pair.substring(pair.indexOf('=') + 1);
        }
    }

    /** The load generator. */
    @Command(name = "load", description = "Send a load to daemons on loopback and judge every answer")
    public static final class Load implements Callable<Integer> {
        @Option(name = "--json", description = "print the result as JSON")
        private boolean json;

        @Arguments(description = "the JSON file that describes the load")
        @Required
        private String file;

        @Override
        public Integer call() throws Exception {
            LoadResult result = new LoadGenerator(LoadSpec.parse(Files.readString(Path.of(file)))).run();
            System.out.println(json ? result.json() : result.table());
            return result.clean() ? 0 : 1;
        }
    }

    /** Measures what a daemon adds to a call. */
    @Command(name = "overhead", description = "Measure what a daemon adds to a call, against calling the stand-in")
    public static final class Overhead implements Callable<Integer> {
        @Option(name = "--key", description = "bearer key for the daemon")
        @Required
        private String key;

        @Option(name = "--class", description = "request class for the daemon")
        @Required
        private String requestClass;

        @Option(name = "--direct", description = "URL at the stand-in")
        @Required
        private String direct;

        @Option(name = "--routed", description = "URL at the daemon")
        @Required
        private String routed;

        @Option(name = "--body", description = "body of each call")
        private String body = "x";

        @Option(name = "--calls", description = "calls a round")
        private int calls = 500;

        @Override
        public Integer call() {
            Loopback.parse(URI.create(direct).getAuthority());
            Loopback.parse(URI.create(routed).getAuthority());
            RouterOverhead overhead = new RouterOverhead(key, requestClass);
            for (int concurrency : new int[] {1, 8, 32}) {
                System.out.println(overhead.row(direct, routed, body, calls, concurrency));
            }
            return 0;
        }
    }
}
