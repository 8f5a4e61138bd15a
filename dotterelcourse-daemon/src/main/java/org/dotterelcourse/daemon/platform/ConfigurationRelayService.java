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

/**
 * Runs the {@link ConfigurationRelay}: performs its reads of the platform's configuration service and puts the
 * configurations that it accepts in force.
 */
public final class ConfigurationRelayService implements Service {
    /** Name under which the kernel registers this service. */
    public static final ServiceName<ConfigurationRelayService> NAME =
            new ServiceName<>("configuration-relay", ConfigurationRelayService.class);

    private static final long TICK_NANOS = 100_000_000L;
    private static final int MAX_AUDITED_FINDINGS = 20;
    private static final Logger LOG = Logger.getLogger(ConfigurationRelayService.class);

    private final ConfigSource source;
    private final ConfigurationReducer reducer;
    private final double readsPerSecond;
    private final Disposable.Swap pendingRead = Disposables.swap();
    private ConfigurationStore store;
    private AuditTrail audit;
    private Peers peers;
    private ConfigurationDriver driver;

    /**
     * Creates the service.
     *
     * @param source client of the configuration service
     * @param reader parser for whole documents and patches
     * @param readsPerSecond long-run limit of this process's calls to the source, in calls per second; bursts may reach
     *     two seconds' worth of calls
     */
    public ConfigurationRelayService(ConfigSource source, ConfigurationReader reader, double readsPerSecond) {
        this.source = source;
        this.reducer = new ConfigurationReducer(reader);
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
                new ConfigurationRelay(reducer, settings, RandomGenerator.getDefault(), System.nanoTime());
        driver = new ConfigurationDriver(peers.transport(), relay, this::execute);
        peers.onMembership(driver::membershipChanged);
        driver.start(TICK_NANOS);
        // A daemon without peers gets no membership event. Without this call, it would never start to watch the
        // service.
        peers.onStart(driver::membershipStarted);
        return List.of();
    }

    @Override
    public void stop() {
        pendingRead.dispose();
    }

    private void execute(RelayEffect effect) {
        if (effect instanceof RelayEffect.Watch watch) {
            submitResult(source.watch(watch.after()).map(RelayEvent.HeadRead::new), new RelayEvent.WatchEnded());
        } else if (effect instanceof RelayEffect.FetchHead) {
            submitResult(source.head().map(RelayEvent.HeadRead::new), new RelayEvent.EntryMissing());
        } else if (effect instanceof RelayEffect.Fetch fetch) {
            submitResult(source.entry(fetch.number()).map(this::toEntryRead), new RelayEvent.EntryMissing());
        } else if (effect instanceof RelayEffect.FetchWhole) {
            submitResult(source.whole().map(this::toEntryRead), new RelayEvent.EntryMissing());
        } else {
            handleNotification(effect);
        }
    }

    private void handleNotification(RelayEffect effect) {
        if (effect instanceof RelayEffect.InForce inForce) {
            store.offer(reducer.configuration(inForce.content()), "published");
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

    /**
     * Truncates the list of findings. A document in which every customer is invalid has thousands of findings; the
     * audit trail would exhaust the memory if it kept them all.
     */
    private static String summary(List<String> findings) {
        String first = String.join("; ", findings.subList(0, Math.min(MAX_AUDITED_FINDINGS, findings.size())));
        int omitted = findings.size() - MAX_AUDITED_FINDINGS;
        return omitted > 0 ? first + "; and " + omitted + " more" : first;
    }

    /** Submits the read's result to the relay. Cancels the previous read: the relay has at most one in flight. */
    private void submitResult(Mono<? extends RelayEvent> read, RelayEvent eventIfEmpty) {
        pendingRead.update(read.cast(RelayEvent.class)
                .defaultIfEmpty(eventIfEmpty)
                .onErrorResume(this::onReadFailure)
                .subscribe(driver::submit));
    }

    private Mono<RelayEvent> onReadFailure(Throwable error) {
        LOG.debug("read of the configuration service failed", error);
        return Mono.just(new RelayEvent.ReadFailed(0));
    }

    private RelayEvent toEntryRead(ConfigEntry entry) {
        boolean whole = entry.kind() == ConfigEntry.Kind.WHOLE;
        return new RelayEvent.EntryRead(
                new Entry(entry.number(), whole, entry.text().getBytes(StandardCharsets.UTF_8)));
    }
}
