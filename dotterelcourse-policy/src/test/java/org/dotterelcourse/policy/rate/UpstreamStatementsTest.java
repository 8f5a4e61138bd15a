package org.dotterelcourse.policy.rate;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamStatementsTest {
    private static final long SECOND = 1_000_000_000L;

    private final UpstreamStatements statements = new UpstreamStatements();

    @Test
    void theLowestOfTheRecentValuesOfAnUpstreamApplies() {
        statements.record("llm", 3, SECOND);
        statements.record("llm", 8, 2 * SECOND);
        assertThat(statements.value("llm", 2 * SECOND)).hasValue(3);
        statements.record("llm", 8, 7 * SECOND);
        assertThat(statements.value("llm", 7 * SECOND)).hasValue(8);
        assertThat(statements.value("plain", 2 * SECOND)).isEmpty();
    }

    @Test
    void aStatementThatIsNotRepeatedEndsAfterTheTimeInWhichACrashedWorkerIsBack() {
        statements.record("llm", 3, SECOND);
        assertThat(statements.value("llm", 20 * SECOND)).hasValue(3);
        assertThat(statements.value("llm", 40 * SECOND)).isEmpty();
    }

    @Test
    void theStatementOfAnUpstreamEndsWhenNoWorkerMakesIt() {
        statements.record("llm", 3, SECOND);
        statements.remove("llm");
        assertThat(statements.value("llm", SECOND)).isEmpty();
    }
}
