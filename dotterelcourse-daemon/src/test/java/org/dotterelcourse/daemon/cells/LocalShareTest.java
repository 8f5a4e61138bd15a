package org.dotterelcourse.daemon.cells;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dotterelcourse.policy.cell.WorkerInfo;

import static org.assertj.core.api.Assertions.assertThat;

class LocalShareTest {
    @Property(seed = "20261202", tries = 200)
    void sharesOfAllDaemonsSumToTheCapacity(
            @ForAll @IntRange(min = 1, max = 40) int daemons,
            @ForAll @IntRange(min = 1, max = 13) int workers,
            @ForAll @IntRange(min = 1, max = 33) int concurrency) {
        // Under a partition every daemon may be without an owner. If the shares exceed the capacity of the cell, its
        // engines are overloaded and answer late; if they fall short, callers are refused while engines are idle.
        List<String> names = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            names.add("entry-" + i);
        }
        List<WorkerInfo> infos = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            infos.add(new WorkerInfo("llm-" + i, "ruwi-hall", concurrency, false));
        }
        Map<String, Integer> slotsByWorker = new HashMap<>();
        for (String name : names) {
            LocalShare.of(infos, name, names)
                    .forEach(worker -> slotsByWorker.merge(worker.name(), worker.concurrency(), Integer::sum));
        }

        assertThat(slotsByWorker)
                .hasSize(workers)
                .allSatisfy((worker, slots) -> assertThat(slots).isEqualTo(concurrency));
    }
}
