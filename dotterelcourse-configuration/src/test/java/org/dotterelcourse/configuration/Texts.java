package org.dotterelcourse.configuration;

import java.util.List;

import static org.assertj.core.api.Assertions.assertThat;

/** Sample documents and helpers that unwrap {@link Checked} results. */
final class Texts {
    static final String SMALL = """
            [class chat]
            upstream = llm
            model = m
            version = 1
            tier = 2
            target-ms = 2000
            token-interval-ms = 100
            idempotent = true
            minimum-share = 0.4

            [class lookup]
            upstream = api
            tier = 1
            target-ms = 500
            idempotent = false

            [customer shop]
            key-sha256 = %s
            classes = chat, lookup
            default-class = chat
            requests-per-second = 5
            tokens-per-second = 100.5

            [upstream llm]
            kind = engine
            region = north
            fencing = checked
            concurrency = 8

            [upstream api]
            kind = service
            region = north
            concurrency = 4

            [worker llm-1]
            upstream = llm
            address = 10.0.0.1:9101
            data-centre = hall

            [worker api-1]
            upstream = api
            address = 10.0.0.2:9101
            data-centre = hall
            """.formatted("a".repeat(64));

    private Texts() {}

    static <T> T valid(Checked<T> checked) {
        assertThat(checked).isInstanceOf(Checked.Valid.class);
        return ((Checked.Valid<T>) checked).value();
    }

    static List<Finding> findings(Checked<?> checked) {
        assertThat(checked).isInstanceOf(Checked.Invalid.class);
        return ((Checked.Invalid<?>) checked).findings();
    }

    static Configuration small() {
        return valid(new IniConfigurationReader().read(1, "small.ini", SMALL));
    }
}
