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

    // Regression test: a device between the daemon and both workers has dropped the state of all idle connections, so
    // that an attempt over a pooled connection times out. If the retry also used a pooled connection, it would time out
    // at the second worker as well, and the call would fail although both workers are available.
    @Test
    void retryAfterSilentConnectionUsesNewConnection() {
        ServiceAnswer answer = dispatch(call -> call.pooled()
                ? failed(UpstreamFailure.Kind.SILENT)
                : new ServiceReply.Answered(200, "text/plain", bytes("yes")));
        assertThat(answer).isInstanceOf(ServiceAnswer.Answered.class);
        assertThat(calls).extracting(ServiceCall::pooled).containsExactly(true, false);
        assertThat(calls).extracting(ServiceCall::address).doesNotHaveDuplicates();
    }

    // A refusal by a full worker doesn't indicate a broken connection, and a new connection for each retry would add to
    // the worker's load.
    @Test
    void retryAfterRefusalUsesPooledConnection() {
        ServiceAnswer answer = dispatch(call -> calls.size() == 1
                ? failed(UpstreamFailure.Kind.REFUSED)
                : new ServiceReply.Answered(200, "text/plain", bytes("yes")));
        assertThat(answer).isInstanceOf(ServiceAnswer.Answered.class);
        assertThat(calls).extracting(ServiceCall::pooled).containsExactly(true, true);
    }

    private interface ReplyFunction {
        ServiceReply to(ServiceCall call);
    }

    private ServiceAnswer dispatch(ReplyFunction replies) {
        PlainService service = call -> Mono.fromSupplier(() -> {
            calls.add(call);
            return replies.to(call);
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
        public Mono<GrantResult> ask(String upstream, CellRequest request) {
            Worker worker = WORKERS.stream()
                    .filter(candidate -> !request.excludedWorkers().contains(candidate.name()))
                    .findFirst()
                    .orElseThrow();
            return Mono.just(new GrantResult.Granted(new Grant("cell", 1, worker, Mono.never())));
        }

        @Override
        public void progress(Grant grant, int outputTokens) {
            // The tests don't check progress.
        }

        @Override
        public void release(Grant grant, Completion completion) {
            // The workers have unlimited capacity.
        }

        @Override
        public Mono<Boolean> mayUse(Grant grant) {
            return Mono.just(true);
        }
    }
}
