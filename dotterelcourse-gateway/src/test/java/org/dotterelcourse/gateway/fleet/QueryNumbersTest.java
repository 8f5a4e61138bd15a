package org.dotterelcourse.gateway.fleet;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class QueryNumbersTest {
    private static final int STARTS = 100;
    private static final int QUERIES = 100;

    // Guards against a late answer about another stream, to a query of an earlier start, that is taken for one's own.
    @Test
    void startsOfAProcessDoNotUseTheSameNumbers() {
        Random random = new Random(1);
        Set<Long> numbers = new HashSet<>();
        for (int start = 0; start < STARTS; start++) {
            QueryNumbers ofStart = new QueryNumbers(random);
            for (int query = 0; query < QUERIES; query++) {
                numbers.add(ofStart.next());
            }
        }
        assertThat(numbers).hasSize(STARTS * QUERIES);
    }
}
