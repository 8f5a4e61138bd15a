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

/** The other daemons: who they are, how to reach them, and what they are told of this one. */
public final class Peers implements Service {
    /** The name that it is found by. */
    public static final ServiceName<Peers> NAME = new ServiceName<>("peers", Peers.class);

    /** How long a suspect keeps what it owns: most suspicions are refuted within it. */
    public static final long SUSPECT_GRACE_NANOS = 1_500_000_000L;

    /** Enough for a caller to survive the loss of one of them, and of one data centre. */
    private static final int ADDRESSES = 3;

    private static final Logger LOG = Logger.getLogger(Peers.class);

    private final DaemonSettings settings;
    private final long incarnation;
    private final Optional<EventLoop> sharedLoop;
    private final List<Consumer<List<Member>>> viewListeners = new CopyOnWriteArrayList<>();
    private final List<MembershipListener> membershipListeners = new CopyOnWriteArrayList<>();
    private final Map<String, MemberState> states = new HashMap<>();
    private volatile List<Member> view = List.of();
    private volatile Runnable onSuperseded = () -> {};
    private Payload payload;
    private AuditTrail audit;
    private ControlLoop loop;
    private PeerTransport transport;
    private Membership membership;
    private MembershipDriver driver;

    /**
     * Makes a view that holds nobody.
     *
     * @param settings this daemon's name, place and port
     * @param incarnation rises with every start of a daemon of this name
     */
    public Peers(DaemonSettings settings, long incarnation) {
        this(settings, incarnation, Optional.empty());
    }

    /**
     * Makes a view that holds nobody.
     *
     * @param settings this daemon's name, place and port
     * @param incarnation rises with every start of a daemon of this name
     * @param sharedLoop the thread to run on, if that isn't to be one of its own; it has to outlive this service
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
                    .onFailure(failure -> LOG.warn("a message of another daemon could not be taken", failure));
            sharedLoop.ifPresent(builder::loop);
            transport = builder.build().start();
        } catch (UncheckedIOException e) {
            return List.of(new StartupFailure(NAME.value(), "can't listen for other daemons: " + e.getMessage()));
        }
        membership = Membership.builder()
                .self(self)
                .address(transport.address())
                .payload(payload)
                .random(RandomGenerator.getDefault())
                .build(System.nanoTime());
        driver = new MembershipDriver(transport, membership, this::changed);
        driver.start(MembershipSettings.STANDARD.tickNanos());
        kernel.find(VmWatcher.NAME).onChange(this::listed);
        transport.execute(this::publishView);
        return List.of();
    }

    @Override
    public void stop() {
        driver.submit(new MembershipEvent.Depart());
        transport.execute(() -> {});
        transport.close();
    }

    /**
     * This daemon's name.
     *
     * @return the VM's name
     */
    public String self() {
        return settings.name();
    }

    /**
     * The data centre that this daemon stands in.
     *
     * @return its name
     */
    public String dataCentre() {
        return settings.dataCentre();
    }

    /**
     * The region that this daemon stands in.
     *
     * @return its name
     */
    public String region() {
        return settings.region();
    }

    /**
     * Tells this life of the process from others of the same name.
     *
     * @return the incarnation that the process started with
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * The port of this daemon's peers' side.
     *
     * @return TCP and UDP port
     */
    public int port() {
        return transport.port();
    }

    /**
     * The fleet as it was last seen.
     *
     * @return this daemon first; dead ones are included for a while
     */
    public List<Member> view() {
        return view;
    }

    /**
     * Calls back on the control loop with each new view of the fleet.
     *
     * @param listener must not block
     */
    public void onView(Consumer<List<Member>> listener) {
        viewListeners.add(listener);
        loop.execute(() -> listener.accept(view));
    }

    /**
     * Sends a message to a daemon; to one that is not known it is dropped, as the network would do.
     *
     * @param member the daemon's name
     * @param channel the channel
     * @param body the message
     */
    public void send(String member, String channel, byte[] body) {
        for (Member each : view) {
            if (each.name().equals(member)) {
                transport.send(each.address(), channel, body);
                return;
            }
        }
    }

    /**
     * Takes the messages of a channel, on the control loop.
     *
     * @param channel the channel
     * @param listener hears of each message with its sender's name
     */
    public void registerListener(String channel, MessageListener listener) {
        transport.registerHandler(
                channel,
                message -> loop.execute(() -> listener.received(message.sender().name(), message.body())));
    }

    /**
     * Tells the others which number this daemon has in force.
     *
     * @param number the number
     * @param digest its digest
     */
    public void publishConfiguration(long number, long digest) {
        transport.execute(() -> tell(payload.withConfiguration(number, digest)));
    }

    /**
     * Tells which port callers reach this daemon on, once it is known.
     *
     * @param port the TCP port
     */
    public void publishCallersPort(int port) {
        String address = settings.address() + ":" + port;
        transport.execute(() -> tell(new Payload(
                address,
                payload.dataCentre(),
                payload.region(),
                payload.configurationNumber(),
                payload.configurationDigest(),
                payload.loadPermille())));
    }

    /**
     * Calls back when another process has taken this daemon's name: its VM was replaced while it was paused or cut off.
     *
     * @param listener must not block; there is one
     */
    public void onSuperseded(Runnable listener) {
        onSuperseded = listener;
    }

    /** Tells the others that this daemon is leaving. */
    public void leave() {
        driver.submit(new MembershipEvent.Leave());
    }

    /**
     * The daemons that a caller may use.
     *
     * @param caller anything that stays the same for one caller
     * @return own data centre first; empty if no daemon may be used
     */
    public List<DaemonAddress> daemonAddresses(String caller) {
        List<Member> reachable = view.stream().filter(Peers::servesCallers).toList();
        Ownership ownership = new Ownership(reachable, 0, System.nanoTime());
        List<DaemonAddress> addresses = new ArrayList<>();
        for (Member member : ownership.addresses(caller, settings.dataCentre(), settings.region(), ADDRESSES)) {
            boolean near = member.payload().dataCentre().equals(settings.dataCentre());
            addresses.add(new DaemonAddress(
                    member.payload().callersAddress(), member.payload().dataCentre(), near ? 2 : 1));
        }
        return addresses;
    }

    /** A daemon that has just started listens before it has a configuration, and would turn callers away. */
    private static boolean servesCallers(Member member) {
        Payload told = member.payload();
        return !told.callersAddress().isEmpty() && told.configurationNumber() > 0;
    }

    /**
     * The transport that the others are reached by, for parts that bring a driver of their own.
     *
     * @return the transport; handlers run on its thread
     */
    public PeerTransport transport() {
        return transport;
    }

    /**
     * Calls back on the transport's thread with each effect of the membership.
     *
     * @param listener must not block
     */
    public void onMembership(MembershipListener listener) {
        membershipListeners.add(listener);
    }

    /**
     * Calls back once, on the transport's thread, with what is known before any other daemon is.
     *
     * @param listener must not block
     */
    public void onStart(BiConsumer<MemberId, List<Member>> listener) {
        transport.execute(() -> listener.accept(membership.self(), membership.members()));
    }

    private void tell(Payload changed) {
        payload = changed;
        driver.handle(new MembershipEvent.PayloadChanged(changed));
        publishView();
    }

    private void listed(List<Vm> vms) {
        List<ListedVm> others = vms.stream()
                .filter(vm -> vm.kind().equals(Vm.ENTRY) && !vm.name().equals(settings.name()))
                .map(vm -> new ListedVm(vm.name(), address(vm.address())))
                .toList();
        driver.submit(new MembershipEvent.Listed(others));
    }

    private void changed(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.Changed changed) {
            audit(changed.member());
        } else if (effect instanceof MembershipEffect.PauseNoticed paused) {
            audit.add(
                    AuditEvent.Kind.PROCESS,
                    settings.name(),
                    "this process was paused for " + paused.gapNanos() / 1_000_000 + " ms",
                    "",
                    "");
        } else if (effect instanceof MembershipEffect.Superseded superseded) {
            audit.add(AuditEvent.Kind.PROCESS, settings.name(), "replaced by " + superseded.successor(), "", "");
            onSuperseded.run();
        }
        publishView();
        List<Member> members = view;
        membershipListeners.forEach(listener -> listener.changed(effect, membership.self(), members));
    }

    private void audit(Member member) {
        MemberState before = states.put(member.name(), member.state());
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

    private static InetSocketAddress address(String ipAndPort) {
        int colon = ipAndPort.lastIndexOf(':');
        return new InetSocketAddress(ipAndPort.substring(0, colon), Integer.parseInt(ipAndPort.substring(colon + 1)));
    }
}
