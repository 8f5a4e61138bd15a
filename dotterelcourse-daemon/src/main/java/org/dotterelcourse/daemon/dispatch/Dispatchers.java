package org.dotterelcourse.daemon.dispatch;

import java.util.List;

import org.dotterelcourse.daemon.cells.OwnedGrants;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.upstream.Engine;
import org.dotterelcourse.daemon.upstream.PlainService;

/** Service that provides the dispatchers for the two kinds of upstreams, engines and plain services. */
public final class Dispatchers implements Service {
    /** The service name under which the kernel registers the dispatchers. */
    public static final ServiceName<Dispatchers> NAME = new ServiceName<>("dispatchers", Dispatchers.class);

    private final Engine engine;
    private final PlainService service;
    private final Retries retries = new Retries();
    private ChatDispatcher chatDispatcher;
    private ServiceDispatcher serviceDispatcher;

    /**
     * Creates the service. The dispatchers are available after the start.
     *
     * @param engine sends calls to engine workers
     * @param service sends calls to plain services
     */
    public Dispatchers(Engine engine, PlainService service) {
        this.engine = engine;
        this.service = service;
    }

    @Override
    public ServiceName<Dispatchers> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(OwnedGrants.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        GrantSource grants = kernel.find(OwnedGrants.NAME);
        chatDispatcher = new ChatDispatcher(grants, engine, retries);
        serviceDispatcher = new ServiceDispatcher(grants, service, retries);
        return List.of();
    }

    @Override
    public void stop() {
        // Requests in flight end with their connections.
    }

    /**
     * Returns the dispatcher for engines.
     *
     * @return the dispatcher; null before the start
     */
    public ChatDispatcher chat() {
        return chatDispatcher;
    }

    /**
     * Returns the dispatcher for plain services.
     *
     * @return the dispatcher; null before the start
     */
    public ServiceDispatcher service() {
        return serviceDispatcher;
    }
}
