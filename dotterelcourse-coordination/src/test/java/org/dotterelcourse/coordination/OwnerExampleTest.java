package org.dotterelcourse.coordination;

import org.dotterelcourse.coordination.example.OwnerExample;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatCode;

class OwnerExampleTest {

    @Test
    void exampleCompletesWithoutAnException() {
        assertThatCode(() -> OwnerExample.main(new String[0])).doesNotThrowAnyException();
    }
}
