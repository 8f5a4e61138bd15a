package org.dotterelcourse.coordination.grant;

/**
 * Timeouts and limits of the grant protocol. All times are in nanoseconds.
 *
 * @param leaseNanos time after the last renewal at which a grant or a waiting ask expires
 * @param renewNanos interval between the renewals of a client; at most a third of the lease, so that two lost renewals
 *     do not expire it
 * @param settleNanos maximum time for which a new owner waits for clients to register before it grants free capacity
 * @param askTimeoutNanos time after which an unanswered message is sent again
 * @param localAfterNanos time without an answer after which a client falls back to its local arbiter
 * @param maxAsks maximum number of asks that a client keeps, and that an owner buffers while it settles
 */
public record GrantSettings(
        long leaseNanos, long renewNanos, long settleNanos, long askTimeoutNanos, long localAfterNanos, int maxAsks) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Creates a builder with the defaults: lease 3 s, renewal every 1 s, settle time 1 s, ask timeout 150 ms, local
     * mode after 600 ms, 20,000 asks.
     *
     * @return a new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link GrantSettings}. */
    public static final class Builder {
        private long lease = 3_000 * NANOS_PER_MILLI;
        private long renew = 1_000 * NANOS_PER_MILLI;
        private long settle = 1_000 * NANOS_PER_MILLI;
        private long askTimeout = 150 * NANOS_PER_MILLI;
        private long localAfter = 600 * NANOS_PER_MILLI;
        private int asks = 20_000;

        private Builder() {}

        /**
         * Sets the duration of a lease and the renewal interval.
         *
         * @param leaseNanos see {@link GrantSettings#leaseNanos}
         * @param renewNanos see {@link GrantSettings#renewNanos}
         * @return this builder
         */
        public Builder lease(long leaseNanos, long renewNanos) {
            lease = leaseNanos;
            renew = renewNanos;
            return this;
        }

        /**
         * Sets the maximum settle time of a new owner.
         *
         * @param settleNanos see {@link GrantSettings#settleNanos}
         * @return this builder
         */
        public Builder settle(long settleNanos) {
            settle = settleNanos;
            return this;
        }

        /**
         * Sets the client's timeouts.
         *
         * @param askTimeoutNanos see {@link GrantSettings#askTimeoutNanos}
         * @param localAfterNanos see {@link GrantSettings#localAfterNanos}
         * @return this builder
         */
        public Builder timeouts(long askTimeoutNanos, long localAfterNanos) {
            askTimeout = askTimeoutNanos;
            localAfter = localAfterNanos;
            return this;
        }

        /**
         * Sets the maximum number of asks.
         *
         * @param maxAsks see {@link GrantSettings#maxAsks}
         * @return this builder
         */
        public Builder maxAsks(int maxAsks) {
            asks = maxAsks;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         * @throws IllegalArgumentException if the lease is shorter than two renewal intervals, the settle time
         *     is negative, or another value is not positive
         */
        public GrantSettings build() {
            if (lease < 2 * renew || renew <= 0 || settle < 0 || askTimeout <= 0 || localAfter <= 0 || asks <= 0) {
                throw new IllegalArgumentException("invalid grant settings, times in ns: lease " + lease
                        + ", renewal interval " + renew + ", settle time " + settle + ", ask timeout " + askTimeout
                        + ", local mode after " + localAfter + ", max asks " + asks);
            }
            return new GrantSettings(lease, renew, settle, askTimeout, localAfter, asks);
        }
    }
}
