package org.dotterelcourse.configuration;

import java.time.Duration;
import java.util.List;

/**
 * The settings of one gateway process, which routes by host and path, read from its INI file. Every address is an IP
 * address and port.
 *
 * @param name the VM's name, unique in the fleet
 * @param dataCentre the data centre of the VM
 * @param region the region of the VM
 * @param capacityCores the processor capacity of the VM in cores; 0 if unknown
 * @param grace the grace period after SIGTERM within which the process must end
 * @param clients the listen address for client requests
 * @param readiness the listen address of the readiness endpoint
 * @param addresses the listen address of the endpoint that lists the addresses clients may use
 * @param peers the listen address for peer processes, TCP and UDP
 * @param relays the listen address for requests that peers relay; empty if this process relays none
 * @param metrics the listen address of the metrics endpoint; empty if it is disabled
 * @param store the address of the platform's store
 * @param changesWithin the maximum time until a published change is in force on every process
 * @param configurationUpdate how a published configuration is taken over
 * @param seeds the addresses of the peers contacted first to join the cluster
 * @param repeatRatio the retry budget of an upstream, in retries per request
 * @param repeatExtra retries allowed across the whole fleet in each window in addition to {@code repeatRatio}
 * @param repeatWindow the length of the window over which retries are counted
 * @param measuredSpeeds whether workers are selected by their measured speeds
 * @param separateStreams whether interactive streams with long prompts are kept from those with shorter gap targets
 */
public record GatewaySettings(
        String name,
        String dataCentre,
        String region,
        double capacityCores,
        Duration grace,
        String clients,
        String readiness,
        String addresses,
        String peers,
        String relays,
        String metrics,
        String store,
        Duration changesWithin,
        ConfigurationUpdate configurationUpdate,
        List<String> seeds,
        double repeatRatio,
        double repeatExtra,
        Duration repeatWindow,
        boolean measuredSpeeds,
        boolean separateStreams) {
    /**
     * Creates a builder.
     *
     * @return a builder in which only optional settings have values
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builder for settings. Each method replaces the value that was set before. */
    public static final class Builder {
        private String name;
        private String dataCentre;
        private String region;
        private double capacityCores;
        private Duration grace;
        private String clients;
        private String readiness;
        private String addresses;
        private String peers;
        private String relays = "";
        private String metrics = "";
        private String store;
        private Duration changesWithin;
        private ConfigurationUpdate configurationUpdate = ConfigurationUpdate.DEFAULT;
        private List<String> seeds = List.of();
        private double repeatRatio;
        private double repeatExtra;
        private Duration repeatWindow;
        private boolean measuredSpeeds = true;
        private boolean separateStreams = true;

        private Builder() {}

        /**
         * Sets the VM's name, unique in the fleet.
         *
         * @param value the value
         * @return this builder
         */
        public Builder name(String value) {
            name = value;
            return this;
        }

        /**
         * Sets the data centre of the VM.
         *
         * @param value the value
         * @return this builder
         */
        public Builder dataCentre(String value) {
            dataCentre = value;
            return this;
        }

        /**
         * Sets the region of the VM.
         *
         * @param value the value
         * @return this builder
         */
        public Builder region(String value) {
            region = value;
            return this;
        }

        /**
         * Sets the processor capacity of the VM in cores.
         *
         * @param value the capacity; 0 if unknown
         * @return this builder
         */
        public Builder capacityCores(double value) {
            capacityCores = value;
            return this;
        }

        /**
         * Sets the grace period after SIGTERM within which the process must end.
         *
         * @param value the value
         * @return this builder
         */
        public Builder grace(Duration value) {
            grace = value;
            return this;
        }

        /**
         * Sets the listen address for client requests.
         *
         * @param value the value
         * @return this builder
         */
        public Builder clients(String value) {
            clients = value;
            return this;
        }

        /**
         * Sets the listen address of the readiness endpoint.
         *
         * @param value the value
         * @return this builder
         */
        public Builder readiness(String value) {
            readiness = value;
            return this;
        }

        /**
         * Sets the listen address of the endpoint that lists the addresses clients may use.
         *
         * @param value the value
         * @return this builder
         */
        public Builder addresses(String value) {
            addresses = value;
            return this;
        }

        /**
         * Sets the listen address for peer processes, TCP and UDP.
         *
         * @param value the value
         * @return this builder
         */
        public Builder peers(String value) {
            peers = value;
            return this;
        }

        /**
         * Sets the listen address for requests that peers relay; empty by default.
         *
         * @param value the value
         * @return this builder
         */
        public Builder relays(String value) {
            relays = value;
            return this;
        }

        /**
         * Sets the listen address of the metrics endpoint; empty if it is disabled.
         *
         * @param value the value
         * @return this builder
         */
        public Builder metrics(String value) {
            metrics = value;
            return this;
        }

        /**
         * Sets the address of the platform's store.
         *
         * @param value the value
         * @return this builder
         */
        public Builder store(String value) {
            store = value;
            return this;
        }

        /**
         * Sets the maximum time until a published change is in force on every process.
         *
         * @param value the value
         * @return this builder
         */
        public Builder changesWithin(Duration value) {
            changesWithin = value;
            return this;
        }

        /**
         * Sets how a published configuration is taken over. The default is {@link ConfigurationUpdate#DEFAULT}.
         *
         * @param value the value
         * @return this builder
         */
        public Builder configurationUpdate(ConfigurationUpdate value) {
            configurationUpdate = value;
            return this;
        }

        /**
         * Sets the addresses of the peers contacted first to join the cluster.
         *
         * @param value the value
         * @return this builder
         */
        public Builder seeds(List<String> value) {
            seeds = value;
            return this;
        }

        /**
         * Sets the retry budget of an upstream, in retries per request.
         *
         * @param value the value
         * @return this builder
         */
        public Builder repeatRatio(double value) {
            repeatRatio = value;
            return this;
        }

        /**
         * Sets retries allowed across the whole fleet in each window in addition to {@code repeatRatio}.
         *
         * @param value the value
         * @return this builder
         */
        public Builder repeatExtra(double value) {
            repeatExtra = value;
            return this;
        }

        /**
         * Sets the length of the window over which retries are counted.
         *
         * @param value the value
         * @return this builder
         */
        public Builder repeatWindow(Duration value) {
            repeatWindow = value;
            return this;
        }

        /**
         * Sets whether workers are selected by their measured speeds; true by default.
         *
         * @param value the value
         * @return this builder
         */
        public Builder measuredSpeeds(boolean value) {
            measuredSpeeds = value;
            return this;
        }

        /**
         * Sets whether interactive streams with long prompts are kept from those with shorter gap targets; true by default.
         *
         * @param value the value
         * @return this builder
         */
        public Builder separateStreams(boolean value) {
            separateStreams = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public GatewaySettings build() {
            return new GatewaySettings(
                    name,
                    dataCentre,
                    region,
                    capacityCores,
                    grace,
                    clients,
                    readiness,
                    addresses,
                    peers,
                    relays,
                    metrics,
                    store,
                    changesWithin,
                    configurationUpdate,
                    seeds,
                    repeatRatio,
                    repeatExtra,
                    repeatWindow,
                    measuredSpeeds,
                    separateStreams);
        }
    }
}
