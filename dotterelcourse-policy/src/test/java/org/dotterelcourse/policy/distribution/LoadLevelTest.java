package org.dotterelcourse.policy.distribution;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LoadLevelTest {
    private static final long SECOND = 1_000_000_000L;

    private final LoadLevel level = new LoadLevel();

    // Guards against a process that is behind for seconds and still gets its full part of new clients.
    @Test
    void aLastingLagRaisesTheLevelWithinTwoSeconds() {
        level.update(200, SECOND);
        assertThat(level.update(200, 2 * SECOND)).isEqualTo(1_000);
    }

    @Test
    void aSingleShortLagIsIgnored() {
        assertThat(level.update(80, SECOND)).isZero();
    }

    // Guards against levels that change each second, each of which is sent to the whole fleet.
    @Test
    void theLevelFallsOnlyAfterSeveralSecondsWithoutLag() {
        for (int i = 1; i <= 3; i++) {
            level.update(300, i * SECOND);
        }
        int raised = level.update(0, 4 * SECOND);
        assertThat(raised).isEqualTo(1_000);
        int last = raised;
        int changes = 0;
        for (int i = 5; i < 30; i++) {
            int next = level.update(0, i * SECOND);
            changes += next == last ? 0 : 1;
            last = next;
        }
        assertThat(last).isZero();
        assertThat(changes).isLessThanOrEqualTo(2);
    }
}
