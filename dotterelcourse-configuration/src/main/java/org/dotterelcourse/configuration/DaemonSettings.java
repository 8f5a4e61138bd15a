package org.dotterelcourse.configuration;

import java.time.Duration;

/**
 * The settings of one daemon process, read from its INI file.
 *
 * @param name the VM's name, unique in the fleet
 * @param address the IP address that the daemon listens on and advertises to peers
 * @param dataCentre the data centre of the VM
 * @param region the region of the VM
 * @param callersPort TCP port for callers, 0 to use any free port
 * @param operatorsPort TCP port for operators, 0 to use any free port
 * @param peersPort TCP and UDP port for other daemons, 0 to use any free port
 * @param configurationService IP address and port of the platform's configuration service
 * @param vmList IP address and port of the platform's VM list service
 * @param readsPerSecond the maximum rate of calls from this process to the configuration service, in calls per second
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param addressesTimeToLive how long callers may cache the list of daemon addresses
 * @param drainLimit the maximum time that a shutdown waits for streams in flight
 * @param auditFile the path of an additional audit file, empty to keep the audit trail only in memory and log
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
     * Creates a builder for the settings of a daemon.
     *
     * @return a new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Builds the settings of a daemon. Components that are not set keep their defaults; values are not validated.
     */
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
         * @param value the IP address that the daemon listens on and advertises to peers
         * @return this builder
         */
        public Builder address(String value) {
            address = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#dataCentre()}.
         *
         * @param value the data centre of the VM
         * @return this builder
         */
        public Builder dataCentre(String value) {
            dataCentre = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#region()}.
         *
         * @param value the region of the VM
         * @return this builder
         */
        public Builder region(String value) {
            region = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#callersPort()}.
         *
         * @param value TCP port for callers, 0 to use any free port
         * @return this builder
         */
        public Builder callersPort(int value) {
            callersPort = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#operatorsPort()}.
         *
         * @param value TCP port for operators, 0 to use any free port
         * @return this builder
         */
        public Builder operatorsPort(int value) {
            operatorsPort = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#peersPort()}.
         *
         * @param value TCP and UDP port for other daemons, 0 to use any free port
         * @return this builder
         */
        public Builder peersPort(int value) {
            peersPort = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#configurationService()}.
         *
         * @param value IP address and port of the platform's configuration service
         * @return this builder
         */
        public Builder configurationService(String value) {
            configurationService = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#vmList()}.
         *
         * @param value IP address and port of the platform's VM list service
         * @return this builder
         */
        public Builder vmList(String value) {
            vmList = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#readsPerSecond()}.
         *
         * @param value the maximum rate of calls from this process to the configuration service, in calls per second
         * @return this builder
         */
        public Builder readsPerSecond(double value) {
            readsPerSecond = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#maxBodyBytes()}.
         *
         * @param value the maximum size of a request body in bytes
         * @return this builder
         */
        public Builder maxBodyBytes(int value) {
            maxBodyBytes = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#addressesTimeToLive()}.
         *
         * @param value how long callers may cache the list of daemon addresses
         * @return this builder
         */
        public Builder addressesTimeToLive(Duration value) {
            addressesTimeToLive = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#drainLimit()}.
         *
         * @param value the maximum time that a shutdown waits for streams in flight
         * @return this builder
         */
        public Builder drainLimit(Duration value) {
            drainLimit = value;
            return this;
        }

        /**
         * Sets {@link DaemonSettings#auditFile()}.
         *
         * @param value the path of an additional audit file, empty to keep the audit trail only in memory and log
         * @return this builder
         */
        public Builder auditFile(String value) {
            auditFile = value;
            return this;
        }

        /**
         * Builds the record from the values set so far, without validating them.
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
