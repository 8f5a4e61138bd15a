package org.dotterelcourse.daemon.platform;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;

import org.dotterelcourse.configuration.Checked;
import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.ConfigurationReader;
import org.dotterelcourse.configuration.Finding;
import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartFinding;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Watches the configuration service and puts each new number in force. */
public final class ConfigurationWatcher implements Service {
    /** The name that it is found by. */
    public static final ServiceName<ConfigurationWatcher> NAME =
            new ServiceName<>("configuration-watcher", ConfigurationWatcher.class);

    private static final Duration RETRY = Duration.ofSeconds(1);
    private static final Logger LOG = Logger.getLogger(ConfigurationWatcher.class);

    private final ConfigSource source;
    private final ConfigurationReader reader;
    private ConfigurationStore store;
    private AuditTrail audit;
    private Disposable watching;

    /**
     * Makes a watcher.
     *
     * @param source where entries are published
     * @param reader reads them
     */
    public ConfigurationWatcher(ConfigSource source, ConfigurationReader reader) {
        this.source = source;
        this.reader = reader;
    }

    @Override
    public ServiceName<ConfigurationWatcher> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(ConfigurationStore.NAME, AuditTrail.NAME);
    }

    @Override
    public List<StartFinding> start(Kernel kernel) {
        store = kernel.find(ConfigurationStore.NAME);
        audit = kernel.find(AuditTrail.NAME);
        watching = Mono.defer(this::round)
                .onErrorResume(error -> {
                    LOG.debug("the configuration service can't be read", error);
                    return Mono.delay(RETRY).then();
                })
                .repeat()
                .subscribe();
        return List.of();
    }

    @Override
    public void stop() {
        watching.dispose();
    }

    private Mono<Void> round() {
        if (store.inForce().isEmpty()) {
            return source.whole().doOnNext(this::take).then(catchUp(source.head()));
        }
        long number = store.inForce().get().number();
        return catchUp(source.watch(number));
    }

    private Mono<Void> catchUp(Mono<Long> head) {
        return head.flatMapMany(this::missing)
                .concatMap(source::entry)
                .doOnNext(this::take)
                .then();
    }

    private Flux<Long> missing(long head) {
        return store.inForce()
                .map(Configuration::number)
                .map(known -> Flux.range(1, (int) Math.max(0, head - known)).map(step -> known + step))
                .orElseGet(Flux::empty);
    }

    private void take(ConfigEntry entry) {
        Checked<Configuration> checked = entry.kind() == ConfigEntry.Kind.WHOLE
                ? reader.read(entry.number(), "entry " + entry.number(), entry.text())
                : reader.fold(store.inForce().orElseThrow(), entry.number(), "entry " + entry.number(), entry.text());
        if (checked instanceof Checked.Valid<Configuration> valid) {
            store.offer(valid.value(), "published");
            return;
        }
        String findings = ((Checked.Invalid<Configuration>) checked)
                .findings().stream().map(Finding::toString).collect(Collectors.joining("; "));
        audit.add(AuditEvent.Kind.CONFIGURATION, Long.toString(entry.number()), "refused: " + findings, "", "");
    }
}
