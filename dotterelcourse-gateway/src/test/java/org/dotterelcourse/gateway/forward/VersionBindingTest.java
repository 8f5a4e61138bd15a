package org.dotterelcourse.gateway.forward;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which software versions may continue a stream. */
class VersionBindingTest {
    private final VersionBinding binding = new VersionBinding();

    @Test
    void anAttemptThatEndsWithoutAnEventBindsTheStreamToNoVersion() {
        binding.beginAttempt("v1");
        assertThat(binding.accepts("v2")).isTrue();
        binding.beginAttempt("v2");
        binding.bind(binding.attemptVersion());
        assertThat(binding.accepts("v2")).isTrue();
        assertThat(binding.accepts("v1")).isFalse();
    }

    @Test
    void aStreamThatBeganAtAnUnknownVersionIsContinuedByNoWorker() {
        binding.beginAttempt("");
        binding.bind(binding.attemptVersion());
        assertThat(binding.isUnknown()).isTrue();
        assertThat(binding.accepts("")).isFalse();
        assertThat(binding.accepts("v1")).isFalse();
    }

    @Test
    void aWorkerOfUnknownVersionContinuesNoStreamOfAKnownOne() {
        binding.bind("v1");
        assertThat(binding.accepts("")).isFalse();
    }

    @Test
    void theVersionOfTheFirstEventRemainsInForce() {
        binding.bind("v1");
        binding.beginAttempt("v1");
        binding.bind("v2");
        assertThat(binding.version()).isEqualTo("v1");
    }
}
