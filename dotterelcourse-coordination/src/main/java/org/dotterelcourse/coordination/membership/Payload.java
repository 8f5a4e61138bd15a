package org.dotterelcourse.coordination.membership;

/**
 * Metadata that a member publishes about itself with each of its messages.
 *
 * @param clientAddress IP address and port at which the member accepts clients, empty while there is none
 * @param dataCentre the member's data centre
 * @param region the member's region
 * @param configurationNumber number of the configuration that the member has in force, 0 for none
 * @param configurationDigest digest of that configuration
 * @param loadPermille the member's approximate load in thousandths of its capacity
 * @param capacityMillicores processor capacity of the member's VM in thousandths of a core, 0 if unknown
 * @param relayPort TCP port at which the member sends on requests of other members' clients, 0 if it does not
 * @param cutOff whether the member has no link to any worker
 */
public record Payload(
        String clientAddress,
        String dataCentre,
        String region,
        long configurationNumber,
        long configurationDigest,
        int loadPermille,
        int capacityMillicores,
        int relayPort,
        boolean cutOff) {

    /**
     * Creates the payload of a member with unknown capacity, which does not relay requests and is not cut off.
     *
     * @param clientAddress IP address and port at which the member accepts clients, empty while there is none
     * @param dataCentre the member's data centre
     * @param region the member's region
     * @param configurationNumber number of the configuration that the member has in force, 0 for none
     * @param configurationDigest digest of that configuration
     * @param loadPermille the member's approximate load in thousandths of its capacity
     */
    public Payload(
            String clientAddress,
            String dataCentre,
            String region,
            long configurationNumber,
            long configurationDigest,
            int loadPermille) {
        this(clientAddress, dataCentre, region, configurationNumber, configurationDigest, loadPermille, 0, 0, false);
    }

    /**
     * Returns this payload with another client address.
     *
     * @param address IP address and port at which the member accepts clients
     * @return the changed payload
     */
    public Payload withClientAddress(String address) {
        return new Payload(
                address,
                dataCentre,
                region,
                configurationNumber,
                configurationDigest,
                loadPermille,
                capacityMillicores,
                relayPort,
                cutOff);
    }

    /**
     * Returns this payload with another configuration in force.
     *
     * @param number number of the configuration in force
     * @param digest digest of that configuration
     * @return the changed payload
     */
    public Payload withConfiguration(long number, long digest) {
        return new Payload(
                clientAddress, dataCentre, region, number, digest, loadPermille, capacityMillicores, relayPort, cutOff);
    }

    /**
     * Returns this payload with another load.
     *
     * @param permille load in thousandths of the capacity
     * @return the changed payload
     */
    public Payload withLoad(int permille) {
        return new Payload(
                clientAddress,
                dataCentre,
                region,
                configurationNumber,
                configurationDigest,
                permille,
                capacityMillicores,
                relayPort,
                cutOff);
    }

    /**
     * Returns this payload with another capacity.
     *
     * @param millicores processor capacity in thousandths of a core, 0 if unknown
     * @return the changed payload
     */
    public Payload withCapacity(int millicores) {
        return new Payload(
                clientAddress,
                dataCentre,
                region,
                configurationNumber,
                configurationDigest,
                loadPermille,
                millicores,
                relayPort,
                cutOff);
    }

    /**
     * Returns this payload with another port for relayed requests.
     *
     * @param port TCP port, 0 if the member does not relay requests
     * @return the changed payload
     */
    public Payload withRelayPort(int port) {
        return new Payload(
                clientAddress,
                dataCentre,
                region,
                configurationNumber,
                configurationDigest,
                loadPermille,
                capacityMillicores,
                port,
                cutOff);
    }

    /**
     * Returns this payload with another statement of whether the member is cut off.
     *
     * @param value whether the member has no link to any worker
     * @return the changed payload
     */
    public Payload withCutOff(boolean value) {
        return new Payload(
                clientAddress,
                dataCentre,
                region,
                configurationNumber,
                configurationDigest,
                loadPermille,
                capacityMillicores,
                relayPort,
                value);
    }
}
