package org.dotterelcourse.daemon.kernel;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class KernelTest {
    private final List<String> lifecycleEvents = new ArrayList<>();

    @Test
    void startsDependenciesFirstAndStopsThemLast() {
        Kernel kernel = new Kernel().register(service("edge", "", "store")).register(service("store", ""));

        assertThat(kernel.start()).isEmpty();
        kernel.stop();

        assertThat(lifecycleEvents).containsExactly("+store", "+edge", "-edge", "-store");
    }

    @Test
    void stopsStartedServicesWhenAServiceFailsToStart() {
        Kernel kernel = new Kernel()
                .register(service("store", ""))
                .register(service("edge", "the port is taken", "store"))
                .register(service("operators", "", "edge"));

        assertThat(kernel.start()).containsExactly(new StartupFailure("edge", "the port is taken"));
        assertThat(lifecycleEvents).containsExactly("+store", "-store");
    }

    @Test
    void reportsEveryMissingDependencyAndCycleTogetherAndStartsNothing() {
        Kernel kernel = new Kernel()
                .register(service("a", "", "b"))
                .register(service("b", "", "a"))
                .register(service("c", "", "missing"))
                .register(service("c", ""));

        assertThat(kernel.start()).extracting(StartupFailure::service).containsExactlyInAnyOrder("c", "a", "c");
        assertThat(lifecycleEvents).isEmpty();
    }

    @Test
    void findsAServiceOnlyUnderItsNameAndType() {
        Kernel kernel = new Kernel().register(service("store", ""));

        assertThat(kernel.find(new ServiceName<>("store", TestService.class)).lifecycleEvents)
                .isSameAs(lifecycleEvents);
        assertThatThrownBy(() -> kernel.find(new ServiceName<>("store", ControlLoop.class)))
                .isInstanceOf(IllegalStateException.class);
    }

    private TestService service(String name, String problem, String... dependencyNames) {
        return new TestService(name, problem, List.of(dependencyNames), lifecycleEvents);
    }

    private record TestService(
            String serviceName, String problem, List<String> dependencyNames, List<String> lifecycleEvents)
            implements Service {
        @Override
        public ServiceName<?> name() {
            return new ServiceName<>(serviceName, TestService.class);
        }

        @Override
        public List<ServiceName<?>> dependencies() {
            List<ServiceName<?>> names = new ArrayList<>();
            dependencyNames.forEach(dependency -> names.add(new ServiceName<>(dependency, TestService.class)));
            return names;
        }

        @Override
        public List<StartupFailure> start(Kernel kernel) {
            if (!problem.isEmpty()) {
                return List.of(new StartupFailure(serviceName, problem));
            }
            lifecycleEvents.add("+" + serviceName);
            return List.of();
        }

        @Override
        public void stop() {
            lifecycleEvents.add("-" + serviceName);
        }
    }
}
