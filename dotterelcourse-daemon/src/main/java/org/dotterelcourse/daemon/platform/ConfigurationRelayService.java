package org.dotterelcourse.daemon.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.random.RandomGenerator;

import org.dotterelcourse.configuration.ConfigurationReader;
import org.dotterelcourse.coordination.configuration.ConfigurationDriver;
import org.dotterelcourse.coordination.configuration.ConfigurationRelay;
import org.dotterelcourse.coordination.configuration.Entry;
import org.dotterelcourse.coordination.configuration.RelayEffect;
import org.dotterelcourse.coordination.configuration.RelayEvent;
import org.dotterelcourse.coordination.configuration.RelaySettings;
import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

/** Runs the relay of numbered configuration: reads the platform's service for it and puts in force what it decides. */
public final class ConfigurationRelayService implements Service {
    /** The name that it is found by. */
    public static final ServiceName<ConfigurationRelayService> NAME =
            new ServiceName<>("configuration-relay", ConfigurationRelayService.class);

    private static final long TICK_NANOS = 100_000_000L;
    private static final int MOST_FINDINGS = 20;
    private static final Logger LOG = Logger.getLogger(ConfigurationRelayService.class);

    private final ConfigSource source;
    private final ConfigurationFolder folder;
    private final double readsPerSecond;
    private final Disposable.Swap reads = Disposables.swap();
    private ConfigurationStore store;
    private AuditTrail audit;
    private Peers peers;
    private ConfigurationDriver driver;

    /**
     * Makes a service.
     *
     * @param source where entries are published
     * @param reader reads them
     * @param readsPerSecond how many calls a second this process may make to the source in the long run
     */
    public ConfigurationRelayService(ConfigSource source, ConfigurationReader reader, double readsPerSecond) {
        this.source = source;
        this.folder = new ConfigurationFolder(reader);
        this.readsPerSecond = readsPerSecond;
    }

    @Override
    public ServiceName<ConfigurationRelayService> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(ConfigurationStore.NAME, AuditTrail.NAME, Peers.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        store = kernel.find(ConfigurationStore.NAME);
        audit = kernel.find(AuditTrail.NAME);
        peers = kernel.find(Peers.NAME);
        RelaySettings settings = RelaySettings.STANDARD.withReadRate(readsPerSecond, 2 * readsPerSecond);
        ConfigurationRelay relay =
                new ConfigurationRelay(folder, settings, RandomGenerator.getDefault(), System.nanoTime());
        driver = new ConfigurationDriver(peers.transport(), relay, this::carryOut);
        peers.onMembership(driver::membershipChanged);
        driver.start(TICK_NANOS);
        // A daemon that is alone hears of no member, and would never learn that it is the one to watch the service.
        peers.onStart(driver::membershipStarted);
        return List.of();
    }

    @Override
    public void stop() {
        reads.dispose();
    }

    private void carryOut(RelayEffect effect) {
        if (effect instanceof RelayEffect.Watch watch) {
            answer(source.watch(watch.after()).map(RelayEvent.HeadRead::new), new RelayEvent.WatchEnded());
        } else if (effect instanceof RelayEffect.FetchHead) {
            answer(source.head().map(RelayEvent.HeadRead::new), new RelayEvent.EntryMissing());
        } else if (effect instanceof RelayEffect.Fetch fetch) {
            answer(source.entry(fetch.number()).map(this::read), new RelayEvent.EntryMissing());
        } else if (effect instanceof RelayEffect.FetchWhole) {
            answer(source.whole().map(this::read), new RelayEvent.EntryMissing());
        } else {
            told(effect);
        }
    }

    private void told(RelayEffect effect) {
        if (effect instanceof RelayEffect.InForce inForce) {
            store.offer(folder.configuration(inForce.content()), "published");
        } else if (effect instanceof RelayEffect.PositionAdvanced advanced) {
            peers.publishConfiguration(advanced.position(), advanced.digest());
        } else if (effect instanceof RelayEffect.Refused refused) {
            String cause = "refused: " + summary(refused.findings());
            audit.add(AuditEvent.Kind.CONFIGURATION, Long.toString(refused.number()), cause, "", "");
        } else if (effect instanceof RelayEffect.AlarmRaised raised) {
            LOG.error("configuration alarm " + raised.alarm());
            audit.add(AuditEvent.Kind.CONFIGURATION, "alarm", raised.alarm().toString(), "", "");
        }
    }

    /** A document in which every customer is wrong has thousands of findings; a trail of them would fill the memory. */
    private static String summary(List<String> findings) {
        String first = String.join("; ", findings.subList(0, Math.min(MOST_FINDINGS, findings.size())));
        int more = findings.size() - MOST_FINDINGS;
        return more > 0 ? first + "; and " + more + " more" : first;
    }

    /** The relay has one read under way at most; one that it has given up is dropped. */
    private void answer(Mono<? extends RelayEvent> read, RelayEvent none) {
        reads.update(read.cast(RelayEvent.class)
                .defaultIfEmpty(none)
                .onErrorResume(this::failed)
                .subscribe(driver::submit));
    }

    private Mono<RelayEvent> failed(Throwable error) {
        LOG.debug("the configuration service can't be read", error);
        return Mono.just(new RelayEvent.ReadFailed(0));
    }

    private RelayEvent read(ConfigEntry entry) {
        boolean whole = entry.kind() == ConfigEntry.Kind.WHOLE;
        return new RelayEvent.EntryRead(
                new Entry(entry.number(), whole, entry.text().getBytes(StandardCharsets.UTF_8)));
    }
}
