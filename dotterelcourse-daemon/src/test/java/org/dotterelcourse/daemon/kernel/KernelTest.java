package org.dotterelcourse.daemon.kernel;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class KernelTest {
    private final List<String> life = new ArrayList<>();

    @Test
    void startsDependenciesFirstAndStopsThemLast() {
        Kernel kernel = new Kernel().register(part("edge", "", "store")).register(part("store", ""));

        assertThat(kernel.start()).isEmpty();
        kernel.stop();

        assertThat(life).containsExactly("+store", "+edge", "-edge", "-store");
    }

    @Test
    void stopsWhatHadStartedWhenAPartFails() {
        Kernel kernel = new Kernel()
                .register(part("store", ""))
                .register(part("edge", "the port is taken", "store"))
                .register(part("operators", "", "edge"));

        assertThat(kernel.start()).containsExactly(new StartupFailure("edge", "the port is taken"));
        assertThat(life).containsExactly("+store", "-store");
    }

    @Test
    void reportsEveryMissingDependencyAndCycleTogetherAndStartsNothing() {
        Kernel kernel = new Kernel()
                .register(part("a", "", "b"))
                .register(part("b", "", "a"))
                .register(part("c", "", "nobody"))
                .register(part("c", ""));

        assertThat(kernel.start()).extracting(StartupFailure::service).containsExactlyInAnyOrder("c", "a", "c");
        assertThat(life).isEmpty();
    }

    @Test
    void findsAServiceOnlyUnderItsNameAndType() {
        Kernel kernel = new Kernel().register(part("store", ""));

        assertThat(kernel.find(new ServiceName<>("store", Part.class)).life).isSameAs(life);
        assertThatThrownBy(() -> kernel.find(new ServiceName<>("store", ControlLoop.class)))
                .isInstanceOf(IllegalStateException.class);
    }

    private Part part(String name, String problem, String... needs) {
        return new Part(name, problem, List.of(needs), life);
    }

    private record Part(String called, String problem, List<String> needs, List<String> life) implements Service {
        @Override
        public ServiceName<?> name() {
            return new ServiceName<>(called, Part.class);
        }

        @Override
        public List<ServiceName<?>> dependencies() {
            List<ServiceName<?>> names = new ArrayList<>();
            needs.forEach(need -> names.add(new ServiceName<>(need, Part.class)));
            return names;
        }

        @Override
        public List<StartupFailure> start(Kernel kernel) {
            if (!problem.isEmpty()) {
                return List.of(new StartupFailure(called, problem));
            }
            life.add("+" + called);
            return List.of();
        }

        @Override
        public void stop() {
            life.add("-" + called);
        }
    }
}
