package org.dotterelcourse.coordination.grant;

/**
 * Times and bounds of the grant protocol. All times are nanoseconds.
 *
 * @param leaseNanos how long a grant or a waiting ask outlives the last word of its asker
 * @param renewNanos how often an asker renews; a third of the lease or less, so that two lost renewals do no harm
 * @param settleNanos how long a new owner waits for askers to register before it counts capacity as free
 * @param askTimeoutNanos after how long an unanswered message is sent again
 * @param localAfterNanos after how long without an answer an asker falls back to its local arbiter
 * @param maxAsks how many asks an asker keeps, and how many an owner holds while it settles
 */
public record GrantSettings(
        long leaseNanos, long renewNanos, long settleNanos, long askTimeoutNanos, long localAfterNanos, int maxAsks) {
    private static final long MILLI = 1_000_000L;

    /**
     * Starts from the defaults: lease 3 s, renewal 1 s, settling 1 s, ask timeout 150 ms, local mode after 600 ms,
     * 20,000 asks.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link GrantSettings}. */
    public static final class Builder {
        private long lease = 3_000 * MILLI;
        private long renew = 1_000 * MILLI;
        private long settle = 1_000 * MILLI;
        private long askTimeout = 150 * MILLI;
        private long localAfter = 600 * MILLI;
        private int asks = 20_000;

        private Builder() {}

        /**
         * Sets the lease and the renewal.
         *
         * @param leaseNanos see {@link GrantSettings#leaseNanos}
         * @param renewNanos see {@link GrantSettings#renewNanos}
         * @return this
         */
        public Builder lease(long leaseNanos, long renewNanos) {
            lease = leaseNanos;
            renew = renewNanos;
            return this;
        }

        /**
         * Sets the settle time.
         *
         * @param settleNanos see {@link GrantSettings#settleNanos}
         * @return this
         */
        public Builder settle(long settleNanos) {
            settle = settleNanos;
            return this;
        }

        /**
         * Sets the asker's timeouts.
         *
         * @param askTimeoutNanos see {@link GrantSettings#askTimeoutNanos}
         * @param localAfterNanos see {@link GrantSettings#localAfterNanos}
         * @return this
         */
        public Builder timeouts(long askTimeoutNanos, long localAfterNanos) {
            askTimeout = askTimeoutNanos;
            localAfter = localAfterNanos;
            return this;
        }

        /**
         * Sets the bound on asks.
         *
         * @param maxAsks see {@link GrantSettings#maxAsks}
         * @return this
         */
        public Builder maxAsks(int maxAsks) {
            asks = maxAsks;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         * @throws IllegalArgumentException if the lease is shorter than two renewals, or a value isn't positive
         */
        public GrantSettings build() {
            if (lease < 2 * renew || renew <= 0 || settle < 0 || askTimeout <= 0 || localAfter <= 0 || asks <= 0) {
                throw new IllegalArgumentException("lease " + lease + ", renewal " + renew + ", settle " + settle
                        + ", ask timeout " + askTimeout + ", local after " + localAfter + ", asks " + asks);
            }
            return new GrantSettings(lease, renew, settle, askTimeout, localAfter, asks);
        }
    }
}
