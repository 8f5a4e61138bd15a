package org.dotterelcourse.daemon.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.configuration.Worker;
import org.dotterelcourse.daemon.upstream.PlainService;
import org.dotterelcourse.daemon.upstream.ServiceCall;
import org.dotterelcourse.daemon.upstream.ServiceReply;
import org.dotterelcourse.daemon.upstream.UpstreamFailure;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.Completion;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceDispatcherTest {
    private final List<ServiceCall> calls = new ArrayList<>();

    // Something between the daemon and both workers has lost track of all connections that lay idle. A check waits for
    // nothing over one of them; at the next worker it must not wait over another such one, or its client is refused
    // though
    // both workers are there.
    @Test
    void aCallThatMetASilentConnectionGetsOneOfItsOwnAtTheNextWorker() {
        ServiceAnswer answer = dispatch(call -> call.pooled()
                ? failed(UpstreamFailure.Kind.SILENT)
                : new ServiceReply.Answered(200, "text/plain", bytes("yes")));
        assertThat(answer).isInstanceOf(ServiceAnswer.Answered.class);
        assertThat(calls).extracting(ServiceCall::pooled).containsExactly(true, false);
        assertThat(calls).extracting(ServiceCall::address).doesNotHaveDuplicates();
    }

    // A worker is full. That says nothing of connections, and a new one for each repetition would cost it more.
    @Test
    void aCallThatWasRefusedGoesOnOverPooledConnections() {
        ServiceAnswer answer = dispatch(call -> calls.size() == 1
                ? failed(UpstreamFailure.Kind.REFUSED)
                : new ServiceReply.Answered(200, "text/plain", bytes("yes")));
        assertThat(answer).isInstanceOf(ServiceAnswer.Answered.class);
        assertThat(calls).extracting(ServiceCall::pooled).containsExactly(true, true);
    }

    private interface Answers {
        ServiceReply to(ServiceCall call);
    }

    private ServiceAnswer dispatch(Answers answers) {
        PlainService service = call -> Mono.fromSupplier(() -> {
            calls.add(call);
            return answers.to(call);
        });
        RequestClass check = RequestClass.builder()
                .name("check")
                .upstream("api")
                .tier(1)
                .targetMillis(100)
                .idempotent(true)
                .build();
        ServiceRequest request =
                new ServiceRequest("id", "bank", check, "GET", "/", "text/plain", bytes(""), System.nanoTime());
        return new ServiceDispatcher(new AlwaysGranted(), service, new Retries())
                .dispatch(request, worker -> {})
                .block();
    }

    private static ServiceReply failed(UpstreamFailure.Kind kind) {
        return new ServiceReply.Failed(new UpstreamFailure(kind, "test"));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Grants the first worker that the request has not tried. */
    private static final class AlwaysGranted implements GrantSource {
        private static final List<Worker> WORKERS =
                List.of(new Worker("api-1", "10.0.0.1:80", "dc"), new Worker("api-2", "10.0.0.2:80", "dc"));

        @Override
        public Mono<GrantResult> ask(String upstream, CellRequest ask) {
            Worker worker = WORKERS.stream()
                    .filter(each -> !ask.excludedWorkers().contains(each.name()))
                    .findFirst()
                    .orElseThrow();
            return Mono.just(new GrantResult.Granted(new Grant("cell", 1, worker, Mono.never())));
        }

        @Override
        public void progress(Grant grant, int outputTokens) {
            // Nothing depends on it here.
        }

        @Override
        public void release(Grant grant, Completion completion) {
            // The workers are never full.
        }

        @Override
        public Mono<Boolean> mayUse(Grant grant) {
            return Mono.just(true);
        }
    }
}
