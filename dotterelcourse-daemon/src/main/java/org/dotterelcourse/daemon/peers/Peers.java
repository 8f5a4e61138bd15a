package org.dotterelcourse.daemon.peers;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.dotterelcourse.configuration.DaemonSettings;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.membership.ListedVm;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.membership.Membership;
import org.dotterelcourse.coordination.membership.MembershipDriver;
import org.dotterelcourse.coordination.membership.MembershipEffect;
import org.dotterelcourse.coordination.membership.MembershipEvent;
import org.dotterelcourse.coordination.membership.MembershipSettings;
import org.dotterelcourse.coordination.membership.Payload;
import org.dotterelcourse.coordination.ownership.Ownership;
import org.dotterelcourse.coordination.transport.PeerTransport;
import org.dotterelcourse.coordination.transport.PeerTransportBuilder;
import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.kernel.ControlLoop;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.platform.Vm;
import org.dotterelcourse.daemon.platform.VmWatcher;
import org.jboss.logging.Logger;

/**
 * Connects this daemon to the others of the fleet: runs the membership protocol, publishes this daemon's payload, and
 * sends and receives messages.
 */
public final class Peers implements Service {
    /** The name under which the kernel registers this service. */
    public static final ServiceName<Peers> NAME = new ServiceName<>("peers", Peers.class);

    /** Time for which a suspected daemon keeps what it owns; most suspicions are refuted within it. */
    public static final long SUSPECT_GRACE_NANOS = 1_500_000_000L;

    /** Lets a caller tolerate the loss of one of its daemons, and of one data centre. */
    private static final int ADDRESSES_PER_CALLER = 3;

    private static final Logger LOG = Logger.getLogger(Peers.class);

    private final DaemonSettings settings;
    private final long incarnation;
    private final Optional<EventLoop> sharedLoop;
    private final List<Consumer<List<Member>>> viewListeners = new CopyOnWriteArrayList<>();
    private final List<MembershipListener> membershipListeners = new CopyOnWriteArrayList<>();
    private final Map<String, MemberState> lastStates = new HashMap<>();
    private volatile List<Member> view = List.of();
    private volatile Runnable supersededListener = () -> {};
    private Payload payload;
    private AuditTrail audit;
    private ControlLoop loop;
    private PeerTransport transport;
    private Membership membership;
    private MembershipDriver driver;

    /**
     * Creates the service with an event loop of its own. The view is empty until the service is started.
     *
     * @param settings this daemon's settings: its name, location, address and peer port
     * @param incarnation incarnation of this process, higher than at any earlier start of a daemon of this name
     */
    public Peers(DaemonSettings settings, long incarnation) {
        this(settings, incarnation, Optional.empty());
    }

    /**
     * Creates the service. The view is empty until the service is started.
     *
     * @param settings this daemon's settings: its name, location, address and peer port
     * @param incarnation incarnation of this process, higher than at any earlier start of a daemon of this name
     * @param sharedLoop the event loop to run on; must outlive this service. If empty, the transport creates its own
     */
    public Peers(DaemonSettings settings, long incarnation, Optional<EventLoop> sharedLoop) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.sharedLoop = sharedLoop;
        this.payload = new Payload("", settings.dataCentre(), settings.region(), 0, 0, 0);
    }

    @Override
    public ServiceName<Peers> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(AuditTrail.NAME, ControlLoop.NAME, VmWatcher.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        audit = kernel.find(AuditTrail.NAME);
        loop = kernel.find(ControlLoop.NAME);
        MemberId self = new MemberId(settings.name(), incarnation);
        try {
            PeerTransportBuilder builder = PeerTransport.builder()
                    .bind(new InetSocketAddress(settings.address(), settings.peersPort()))
                    .self(self)
                    .onFailure(failure -> LOG.warn(
                            "can't process a message of another daemon; skipping it or closing its connection",
                            failure));
            sharedLoop.ifPresent(builder::loop);
            transport = builder.build().start();
        } catch (UncheckedIOException e) {
            return List.of(
                    new StartupFailure(NAME.value(), "can't open the port for other daemons: " + e.getMessage()));
        }
        membership = Membership.builder()
                .self(self)
                .address(transport.address())
                .payload(payload)
                .random(RandomGenerator.getDefault())
                .build(System.nanoTime());
        driver = new MembershipDriver(transport, membership, this::handleEffect);
        driver.start(MembershipSettings.STANDARD.tickNanos());
        kernel.find(VmWatcher.NAME).onChange(this::handleListedVms);
        transport.execute(this::publishView);
        return List.of();
    }

    @Override
    public void stop() {
        driver.submit(new MembershipEvent.Shutdown());
        transport.execute(() -> {});
        transport.close();
    }

    /**
     * Returns the name of this daemon.
     *
     * @return the name of its VM
     */
    public String self() {
        return settings.name();
    }

    /**
     * Returns the data centre of this daemon.
     *
     * @return name of the data centre
     */
    public String dataCentre() {
        return settings.dataCentre();
    }

    /**
     * Returns the region of this daemon.
     *
     * @return name of the region
     */
    public String region() {
        return settings.region();
    }

    /**
     * Returns the incarnation with which this process started. It distinguishes the process from earlier and later ones of
     * the same name.
     *
     * @return the incarnation given to the constructor
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the port on which this daemon listens for other daemons.
     *
     * @return number of the TCP and UDP port
     */
    public int port() {
        return transport.port();
    }

    /**
     * Returns the latest view of the fleet.
     *
     * @return the members, this daemon first; dead ones are included until the membership evicts them
     */
    public List<Member> view() {
        return view;
    }

    /**
     * Adds a listener for views of the fleet. It is called with the current view and then with each new one.
     *
     * @param listener called on the control loop; must not block
     */
    public void onView(Consumer<List<Member>> listener) {
        viewListeners.add(listener);
        loop.execute(() -> listener.accept(view));
    }

    /**
     * Sends a message to a daemon. If the daemon is not in the current view, the message is silently dropped; callers must
     * expect loss anyway, since the transport is best effort.
     *
     * @param member name of the daemon
     * @param channel name of the channel
     * @param body the message in the channel's own encoding
     */
    public void send(String member, String channel, byte[] body) {
        for (Member candidate : view) {
            if (candidate.name().equals(member)) {
                transport.send(candidate.address(), channel, body);
                return;
            }
        }
    }

    /**
     * Sets the listener for the messages of a channel.
     *
     * @param channel name of the channel
     * @param listener called on the control loop with each message; must not block
     */
    public void registerListener(String channel, MessageListener listener) {
        transport.registerHandler(
                channel,
                message -> loop.execute(() -> listener.received(message.sender().name(), message.body())));
    }

    /**
     * Publishes to the other daemons which configuration is active on this one.
     *
     * @param number sequence number of the configuration
     * @param digest digest of the configuration, 0 for none
     */
    public void publishConfiguration(long number, long digest) {
        transport.execute(() -> publishPayload(payload.withConfiguration(number, digest)));
    }

    /**
     * Publishes to the other daemons the port on which this one listens for callers.
     *
     * @param port number of the TCP port
     */
    public void publishCallersPort(int port) {
        String address = settings.address() + ":" + port;
        transport.execute(() -> publishPayload(payload.withClientAddress(address)));
    }

    /**
     * Changes what this daemon publishes about itself.
     *
     * @param change returns the changed payload, called on the transport's thread
     */
    public void updatePayload(UnaryOperator<Payload> change) {
        transport.execute(() -> publishPayload(change.apply(payload)));
    }

    /**
     * Sets the listener that is called when another process has taken over this daemon's name, because its VM was replaced
     * while this process was paused or disconnected.
     *
     * @param listener called on the transport's thread, must not block; replaces an earlier listener
     */
    public void onSuperseded(Runnable listener) {
        supersededListener = listener;
    }

    /** Announces to the other daemons that this one is leaving the fleet. */
    public void leave() {
        driver.submit(new MembershipEvent.Leave());
    }

    /**
     * Returns the daemons to which a caller may send its requests.
     *
     * @param caller a stable identifier of the caller; the same identifier yields the same daemons while they are available
     * @return the addresses, those of this daemon's data centre first; empty if no daemon is available
     */
    public List<DaemonAddress> daemonAddresses(String caller) {
        List<Member> candidates = view.stream().filter(Peers::isServingCallers).toList();
        Ownership ownership = new Ownership(candidates, 0, System.nanoTime());
        List<DaemonAddress> addresses = new ArrayList<>();
        for (Member member :
                ownership.preferredMembers(caller, settings.dataCentre(), settings.region(), ADDRESSES_PER_CALLER)) {
            boolean sameDataCentre = member.payload().dataCentre().equals(settings.dataCentre());
            addresses.add(new DaemonAddress(
                    member.payload().clientAddress(), member.payload().dataCentre(), sameDataCentre ? 2 : 1));
        }
        return addresses;
    }

    /** Excludes daemons without a configuration: one that has just started already listens, but rejects all callers. */
    private static boolean isServingCallers(Member member) {
        Payload published = member.payload();
        return !published.clientAddress().isEmpty() && published.configurationNumber() > 0;
    }

    /**
     * Returns the transport to the other daemons, for services with a protocol driver of their own.
     *
     * @return the transport; its handlers run on its own thread, not on the control loop
     */
    public PeerTransport transport() {
        return transport;
    }

    /**
     * Adds a listener for the effects of the membership protocol.
     *
     * @param listener called on the transport's thread; must not block
     */
    public void onMembership(MembershipListener listener) {
        membershipListeners.add(listener);
    }

    /**
     * Calls a listener once with this daemon's identity and the current members. While the services start, these are the
     * members before any other daemon has been discovered.
     *
     * @param listener called on the transport's thread; must not block
     */
    public void onStart(BiConsumer<MemberId, List<Member>> listener) {
        transport.execute(() -> listener.accept(membership.self(), membership.members()));
    }

    private void publishPayload(Payload changed) {
        payload = changed;
        driver.handle(new MembershipEvent.PayloadChanged(changed));
        publishView();
    }

    private void handleListedVms(List<Vm> vms) {
        List<ListedVm> others = vms.stream()
                .filter(vm -> vm.kind().equals(Vm.ENTRY) && !vm.name().equals(settings.name()))
                .map(vm -> new ListedVm(vm.name(), parseAddress(vm.address())))
                .toList();
        driver.submit(new MembershipEvent.VmListReceived(others));
    }

    private void handleEffect(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.MemberChanged changed) {
            auditStateChange(changed.member());
        } else if (effect instanceof MembershipEffect.PauseDetected paused) {
            audit.add(
                    AuditEvent.Kind.PROCESS,
                    settings.name(),
                    "this process was paused for " + paused.gapNanos() / 1_000_000 + " ms",
                    "",
                    "");
        } else if (effect instanceof MembershipEffect.Superseded superseded) {
            audit.add(AuditEvent.Kind.PROCESS, settings.name(), "replaced by " + superseded.successor(), "", "");
            supersededListener.run();
        }
        publishView();
        List<Member> members = view;
        membershipListeners.forEach(listener -> listener.changed(effect, membership.self(), members));
    }

    private void auditStateChange(Member member) {
        MemberState before = lastStates.put(member.name(), member.state());
        if (before != member.state()) {
            audit.add(
                    AuditEvent.Kind.MEMBERSHIP,
                    member.name(),
                    "incarnation " + member.id().incarnation(),
                    before == null ? "" : before.name(),
                    member.state().name());
        }
    }

    private void publishView() {
        List<Member> members = List.copyOf(membership.members());
        view = members;
        if (!viewListeners.isEmpty()) {
            loop.execute(() -> viewListeners.forEach(listener -> listener.accept(members)));
        }
    }

    private static InetSocketAddress parseAddress(String ipAndPort) {
        int colon = ipAndPort.lastIndexOf(':');
        return new InetSocketAddress(ipAndPort.substring(0, colon), Integer.parseInt(ipAndPort.substring(colon + 1)));
    }
}
