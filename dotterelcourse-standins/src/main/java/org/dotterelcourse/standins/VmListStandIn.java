package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The platform's list of VMs, which shows a change only after a lag. {@code POST /_set} takes a list as it is read. */
public final class VmListStandIn implements StandIn {
    /**
     * One VM.
     *
     * @param name its name
     * @param kind {@code entry} or {@code upstream}
     * @param upstream the upstream it belongs to, null for an entry VM
     * @param address IP number and port; for an entry VM the peers' port
     * @param dataCentre its data centre
     * @param region its region
     * @param state {@code live} or {@code leaving}
     */
    public record Vm(
            String name,
            String kind,
            String upstream,
            String address,
            String dataCentre,
            String region,
            String state) {}

    private record Dated(long nanos, JsonNode list) {}

    private final long lagNanos;
    private final StandInServer server;
    private final FaultSwitch faults;
    private final Deque<Dated> lists = new ArrayDeque<>();

    private VmListStandIn(int port, Duration lag, List<Vm> first) {
        lagNanos = lag.toNanos();
        lists.add(new Dated(System.nanoTime() - lagNanos, listOf(first)));
        server = new StandInServer(port, this::handle);
        faults = new FaultSwitch(server, () -> {});
    }

    /**
     * Starts a description of a list.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Listens.
     *
     * @return this
     */
    public VmListStandIn start() {
        server.listen();
        return this;
    }

    @Override
    public String address() {
        return server.address();
    }

    @Override
    public void fault(Fault fault) {
        faults.set(fault);
    }

    @Override
    public void close() {
        faults.close();
        server.close();
    }

    /**
     * Sets the list; readers see it after the lag.
     *
     * @param vms all VMs
     */
    public void set(List<Vm> vms) {
        add(listOf(vms));
    }

    private static JsonNode listOf(List<Vm> vms) {
        var list = Json.object();
        var array = list.putArray("vms");
        for (Vm each : vms) {
            var vm = array.addObject().put("name", each.name).put("kind", each.kind);
            if (each.upstream != null) {
                vm.put("upstream", each.upstream);
            }
            vm.put("address", each.address)
                    .put("dataCentre", each.dataCentre)
                    .put("region", each.region)
                    .put("state", each.state);
        }
        return list;
    }

    private synchronized void add(JsonNode list) {
        lists.addLast(new Dated(System.nanoTime(), list));
    }

    private synchronized JsonNode late() {
        long newest = System.nanoTime() - lagNanos;
        JsonNode seen = lists.peekFirst().list;
        for (Dated each : lists) {
            if (each.nanos - newest <= 0) {
                seen = each.list;
            }
        }
        JsonNode shown = seen;
        lists.removeIf(each -> each.list != shown && each.nanos - newest <= 0);
        return shown;
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        String path = "/" + request.path();
        if (path.equals("/_fault")) {
            return Replies.withBody(request, body -> faults.set(body, response));
        }
        if (path.equals("/_set")) {
            return Replies.withBody(request, body -> {
                add(Json.parse(body));
                return Replies.status(response, 200);
            });
        }
        if (!path.equals("/v1/vms")) {
            return Replies.problem(response, 404, "no such call");
        }
        if (faults.on(Fault.Kind.STALL)) {
            return Mono.never();
        }
        if (faults.on(Fault.Kind.REFUSE)) {
            return Replies.problem(response, 503, "the list is refused");
        }
        return Replies.json(response, 200, late());
    }

    /** Describes a list. */
    public static final class Builder {
        private int port;
        private Duration lag = Duration.ofSeconds(1);
        private List<Vm> vms = List.of();

        private Builder() {}

        /**
         * The port to listen on.
         *
         * @param value a port, 0 for any free one (the default)
         * @return this
         */
        public Builder port(int value) {
            port = value;
            return this;
        }

        /**
         * How late a change is seen.
         *
         * @param value the lag, 1 s by default
         * @return this
         */
        public Builder lag(Duration value) {
            lag = value;
            return this;
        }

        /**
         * The first list, seen at once.
         *
         * @param value all VMs, none by default
         * @return this
         */
        public Builder vms(List<Vm> value) {
            vms = List.copyOf(value);
            return this;
        }

        /**
         * Makes the list; it does not listen yet.
         *
         * @return the list
         */
        public VmListStandIn build() {
            return new VmListStandIn(port, lag, vms);
        }
    }
}
