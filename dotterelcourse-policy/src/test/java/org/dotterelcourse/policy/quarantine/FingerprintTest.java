package org.dotterelcourse.policy.quarantine;

import java.nio.charset.StandardCharsets;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FingerprintTest {
    @Property(tries = 200, seed = "20261203")
    void equalRequestsHaveEqualFingerprints(@ForAll String customer, @ForAll String uri, @ForAll byte[] body) {
        assertThat(Fingerprint.of(customer, "POST", uri, body.clone()))
                .isEqualTo(Fingerprint.of(customer, "POST", uri, body));
    }

    @Test
    void customerMethodPathAndBodyEachChangeTheFingerprint() {
        Fingerprint fingerprint = of("bank", "POST", "/a/1", "x");
        assertThat(fingerprint)
                .isNotEqualTo(of("school", "POST", "/a/1", "x"))
                .isNotEqualTo(of("bank", "PUT", "/a/1", "x"))
                .isNotEqualTo(of("bank", "POST", "/a/2", "x"))
                .isNotEqualTo(of("bank", "POST", "/a/1", "y"));
    }

    @Test
    void movingBytesBetweenPartsChangesTheFingerprint() {
        assertThat(of("ab", "POST", "/", "")).isNotEqualTo(of("a", "bPOST", "/", ""));
    }

    private static Fingerprint of(String customer, String method, String uri, String body) {
        return Fingerprint.of(customer, method, uri, body.getBytes(StandardCharsets.UTF_8));
    }
}
