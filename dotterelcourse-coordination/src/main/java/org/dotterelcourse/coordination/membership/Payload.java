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
 */
public record Payload(
        String clientAddress,
        String dataCentre,
        String region,
        long configurationNumber,
        long configurationDigest,
        int loadPermille) {

    /**
     * Returns this payload with another configuration in force.
     *
     * @param number number of the configuration in force
     * @param digest digest of that configuration
     * @return the changed payload
     */
    public Payload withConfiguration(long number, long digest) {
        return new Payload(clientAddress, dataCentre, region, number, digest, loadPermille);
    }

    /**
     * Returns this payload with another load.
     *
     * @param permille load in thousandths of the capacity
     * @return the changed payload
     */
    public Payload withLoad(int permille) {
        return new Payload(clientAddress, dataCentre, region, configurationNumber, configurationDigest, permille);
    }
}
