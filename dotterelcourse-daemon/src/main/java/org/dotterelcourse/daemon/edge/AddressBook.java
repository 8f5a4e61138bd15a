package org.dotterelcourse.daemon.edge;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.configuration.DaemonSettings;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.DaemonAddress;
import org.dotterelcourse.daemon.peers.Peers;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Serves the list of daemons that a caller is to connect to, with their data centres and weights. */
public final class AddressBook implements Service {
    /** The name under which the kernel registers this service. */
    public static final ServiceName<AddressBook> NAME = new ServiceName<>("address-book", AddressBook.class);

    private final DaemonSettings settings;
    private final ObjectMapper json = new ObjectMapper();
    private Peers peers;

    /**
     * Creates the service; {@link #start} connects it to the peers.
     *
     * @param settings the daemon settings, which hold the time to live of a returned address list
     */
    public AddressBook(DaemonSettings settings) {
        this.settings = settings;
    }

    @Override
    public ServiceName<AddressBook> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(Peers.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        peers = kernel.find(Peers.NAME);
        return List.of();
    }

    @Override
    public void stop() {
        // Holds no resources.
    }

    /**
     * Publishes the port for callers to the peers, which list it in this daemon's address.
     *
     * @param port the TCP port on which this daemon accepts callers
     */
    void publishCallersPort(int port) {
        peers.publishCallersPort(port);
    }

    /**
     * Sends the addresses as JSON. A caller, identified by its Authorization header, gets the same few daemons for as
     * long as they are alive, so that it reuses its connections.
     *
     * @param headers the request's headers
     * @param response the response to send
     * @return completes when the response has been sent
     */
    Mono<Void> sendAddresses(HttpHeaders headers, HttpServerResponse response) {
        ObjectNode body = json.createObjectNode();
        body.put("timeToLiveSeconds", settings.addressesTimeToLive().toSeconds());
        ArrayNode addresses = body.putArray("addresses");
        for (DaemonAddress address : peers.daemonAddresses(headers.get("Authorization", ""))) {
            addresses
                    .addObject()
                    .put("address", address.address())
                    .put("dataCentre", address.dataCentre())
                    .put("weight", address.weight());
        }
        return Replies.sendBody(response, "application/json", body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
