package org.dotterelcourse.configuration;

import java.time.Duration;

/**
 * The settings of one daemon process, from its INI file.
 *
 * @param name the VM's name, unique in the fleet
 * @param address the IP number that it listens on and tells others
 * @param dataCentre its data centre
 * @param region its region
 * @param callersPort TCP port for callers, 0 for any free one
 * @param operatorsPort TCP port for operators, 0 for any free one
 * @param peersPort TCP and UDP port for other daemons, 0 for any free one
 * @param configurationService IP number and port of the platform's configuration service
 * @param vmList IP number and port of the platform's list of VMs
 * @param readsPerSecond how many calls a second this process may make to the configuration service
 * @param maxBodyBytes the largest request body it takes
 * @param addressesTimeToLive how long callers may keep the answer to which addresses to use
 * @param drainLimit how long a shutdown waits for streams in flight
 * @param auditFile where the audit trail is also written, empty for nowhere but memory and log
 */
public record DaemonSettings(
        String name,
        String address,
        String dataCentre,
        String region,
        int callersPort,
        int operatorsPort,
        int peersPort,
        String configurationService,
        String vmList,
        double readsPerSecond,
        int maxBodyBytes,
        Duration addressesTimeToLive,
        Duration drainLimit,
        String auditFile) {
    /**
     * Starts the settings of a daemon.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds the settings of a daemon component by component; what is left out keeps its default. Checks nothing. */
    public static final class Builder {
        private String name;
        private String address;
        private String dataCentre;
        private String region;
        private int callersPort;
        private int operatorsPort;
        private int peersPort;
        private String configurationService;
        private String vmList;
        private double readsPerSecond = 5;
        private int maxBodyBytes = 1 << 20;
        private Duration addressesTimeToLive = Duration.ofSeconds(20);
        private Duration drainLimit = Duration.ofSeconds(300);
        private String auditFile = "";

        private Builder() {}

        /**
         * Sets {@link DaemonSettings#name()}.
         *
         * @param value the VM's name, unique in the fleet
         * @return this builder
         */
        public Builder name(String value) {
            name = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#address()}.
         *
         * @param value the IP number that it listens on and tells others
         * @return this builder
         */
        public Builder address(String value) {
            address = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#dataCentre()}.
         *
         * @param value its data centre
         * @return this builder
         */
        public Builder dataCentre(String value) {
            dataCentre = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#region()}.
         *
         * @param value its region
         * @return this builder
         */
        public Builder region(String value) {
            region = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#callersPort()}.
         *
         * @param value TCP port for callers, 0 for any free one
         * @return this builder
         */
        public Builder callersPort(int value) {
            callersPort = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#operatorsPort()}.
         *
         * @param value TCP port for operators, 0 for any free one
         * @return this builder
         */
        public Builder operatorsPort(int value) {
            operatorsPort = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#peersPort()}.
         *
         * @param value TCP and UDP port for other daemons, 0 for any free one
         * @return this builder
         */
        public Builder peersPort(int value) {
            peersPort = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#configurationService()}.
         *
         * @param value IP number and port of the platform's configuration service
         * @return this builder
         */
        public Builder configurationService(String value) {
            configurationService = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#vmList()}.
         *
         * @param value IP number and port of the platform's list of VMs
         * @return this builder
         */
        public Builder vmList(String value) {
            vmList = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#readsPerSecond()}.
         *
         * @param value how many calls a second this process may make to the configuration service
         * @return this builder
         */
        public Builder readsPerSecond(double value) {
            readsPerSecond = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#maxBodyBytes()}.
         *
         * @param value the largest request body it takes
         * @return this builder
         */
        public Builder maxBodyBytes(int value) {
            maxBodyBytes = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#addressesTimeToLive()}.
         *
         * @param value how long callers may keep the answer to which addresses to use
         * @return this builder
         */
        public Builder addressesTimeToLive(Duration value) {
            addressesTimeToLive = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#drainLimit()}.
         *
         * @param value how long a shutdown waits for streams in flight
         * @return this builder
         */
        public Builder drainLimit(Duration value) {
            drainLimit = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#auditFile()}.
         *
         * @param value where the audit trail is also written, empty for nowhere but memory and log
         * @return this builder
         */
        public Builder auditFile(String value) {
            auditFile = value;
            return this;
        }

        /**
         * Ends the building.
         *
         * @return the daemon's settings
         */
        public DaemonSettings build() {
            return new DaemonSettings(
                    name,
                    address,
                    dataCentre,
                    region,
                    callersPort,
                    operatorsPort,
                    peersPort,
                    configurationService,
                    vmList,
                    readsPerSecond,
                    maxBodyBytes,
                    addressesTimeToLive,
                    drainLimit,
                    auditFile);
        }
    }
}
