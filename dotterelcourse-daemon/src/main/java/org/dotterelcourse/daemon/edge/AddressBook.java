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

/** Tells callers which daemons to use. */
public final class AddressBook implements Service {
    /** The name that it is found by. */
    public static final ServiceName<AddressBook> NAME = new ServiceName<>("address-book", AddressBook.class);

    private final DaemonSettings settings;
    private final ObjectMapper json = new ObjectMapper();
    private Peers peers;

    /**
     * Makes a book.
     *
     * @param settings the time to live of its answers
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
        // It only answers.
    }

    void callersPort(int port) {
        peers.publishCallersPort(port);
    }

    /** Each caller gets the same few daemons as long as they live, so that its connections are used again. */
    Mono<Void> answer(HttpHeaders headers, HttpServerResponse response) {
        ObjectNode answer = json.createObjectNode();
        answer.put("timeToLiveSeconds", settings.addressesTimeToLive().toSeconds());
        ArrayNode list = answer.putArray("addresses");
        for (DaemonAddress address : peers.daemonAddresses(headers.get("Authorization", ""))) {
            list.addObject()
                    .put("address", address.address())
                    .put("dataCentre", address.dataCentre())
                    .put("weight", address.weight());
        }
        return Replies.bytes(response, "application/json", answer.toString().getBytes(StandardCharsets.UTF_8));
    }
}
