package org.dotterelcourse.gateway.workers;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeavingWorkersTest {
    private static final long HOUR = 3_600L * 1_000_000_000L;
    private static final int WORKER = 7;

    private static final int PUBLISHED = 100;

    private final LeavingWorkers workers = new LeavingWorkers(worker -> worker == PUBLISHED);

    @Test
    void onlyTheFirstStatementOfAnIncarnationIsNews() {
        assertThat(workers.contains(WORKER)).isFalse();
        assertThat(workers.add(WORKER, 0)).isTrue();
        assertThat(workers.add(WORKER, 1)).isFalse();
        assertThat(workers.contains(WORKER)).isTrue();
        assertThat(workers.contains(WORKER + 1)).isFalse();
    }

    @Test
    void workersThatAreNotPublishedAndHaveSaidNothingForAnHourAreForgotten() {
        workers.add(WORKER, 0);
        workers.add(WORKER + 1, 0);
        workers.add(PUBLISHED, 0);
        workers.add(WORKER, HOUR);
        workers.add(WORKER + 2, HOUR + 1);
        assertThat(workers.contains(WORKER)).isTrue();
        assertThat(workers.contains(WORKER + 1)).isFalse();
        assertThat(workers.contains(PUBLISHED)).isTrue();
    }
}
