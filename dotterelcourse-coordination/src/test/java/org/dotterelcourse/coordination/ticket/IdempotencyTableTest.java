package org.dotterelcourse.coordination.ticket;

import org.dotterelcourse.coordination.ticket.IdempotencyTable.Registration;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IdempotencyTableTest {
    private static final TicketOutcome OUTCOME = new TicketOutcome(TicketOutcome.Result.ANSWERED, new byte[] {1});
    private final IdempotencyTable table = new IdempotencyTable(3, 2, 100);

    /** Guards against running a call twice when its caller retries it after a connection failure. */
    @Test
    void duplicateGetsOutcomeOfFirstCall() {
        assertThat(table.register("a", "k", 1, 0)).isInstanceOf(Registration.First.class);
        assertThat(table.register("a", "k", 1, 1)).isInstanceOf(Registration.Running.class);
        table.recordOutcome("a", "k", OUTCOME, 2);

        assertThat(table.register("a", "k", 1, 3)).isEqualTo(new Registration.Ended(OUTCOME));
        assertThat(table.register("a", "k", 2, 3)).isInstanceOf(Registration.KeyReused.class);
        assertThat(table.register("b", "k", 1, 3)).isInstanceOf(Registration.First.class);
    }

    /**
     * Guards against one customer with very many keys that uses up the table for the others, and against entries that
     * are evicted before they expire.
     */
    @Test
    void fullTableRejectsNewKeysAndKeepsUnexpiredEntries() {
        table.register("a", "1", 1, 0);
        table.register("a", "2", 1, 0);
        assertThat(table.register("a", "3", 1, 0)).isInstanceOf(Registration.Full.class);
        assertThat(table.register("b", "1", 1, 0)).isInstanceOf(Registration.First.class);
        assertThat(table.register("c", "1", 1, 0)).isInstanceOf(Registration.Full.class);

        table.recordOutcome("a", "2", OUTCOME, 10);

        assertThat(table.register("c", "1", 1, 109)).isInstanceOf(Registration.Full.class);
        assertThat(table.register("c", "1", 1, 110)).isInstanceOf(Registration.First.class);
        assertThat(table.register("a", "1", 1, 110)).isInstanceOf(Registration.Running.class);
        assertThat(table.size()).isEqualTo(3);
    }
}
