package org.dotterelcourse.daemon.dispatch;

import java.util.List;

import org.dotterelcourse.daemon.cells.OwnedGrants;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.upstream.Engine;
import org.dotterelcourse.daemon.upstream.PlainService;

/** The dispatchers for the two kinds of upstreams. */
public final class Dispatchers implements Service {
    /** The name that they are found by. */
    public static final ServiceName<Dispatchers> NAME = new ServiceName<>("dispatchers", Dispatchers.class);

    private final Engine engine;
    private final PlainService service;
    private final Retries retries = new Retries();
    private ChatDispatcher chatDispatcher;
    private ServiceDispatcher serviceDispatcher;

    /**
     * Makes them; they work once started.
     *
     * @param engine sends to engines
     * @param service calls plain services
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
     * The dispatcher for engines.
     *
     * @return the dispatcher
     */
    public ChatDispatcher chat() {
        return chatDispatcher;
    }

    /**
     * The dispatcher for plain services.
     *
     * @return the dispatcher
     */
    public ServiceDispatcher service() {
        return serviceDispatcher;
    }
}
