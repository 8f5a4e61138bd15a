package org.dotterelcourse.gateway.fleet;

import java.util.random.RandomGenerator;

/**
 * Numbers of the queries of one process. They begin at a random number, since a peer that is behind may answer a query of an
 * earlier start of the process at its address.
 */
final class QueryNumbers {
    private long last;

    QueryNumbers(RandomGenerator random) {
        last = random.nextLong();
    }

    long next() {
        return ++last;
    }
}
