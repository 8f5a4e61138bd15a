package org.dotterelcourse.coordination.membership;

/**
 * What a member tells about itself with each of its messages.
 *
 * @param clientAddress where callers connect, IP number and port
 * @param dataCentre the member's data centre
 * @param region the member's region
 * @param configurationNumber the number that it has in force, 0 for none
 * @param configurationDigest digest of that configuration
 * @param loadPermille load in thousandths of its capacity, a hint
 */
public record Payload(
        String clientAddress,
        String dataCentre,
        String region,
        long configurationNumber,
        long configurationDigest,
        int loadPermille) {

    /**
     * This payload with another configuration in force.
     *
     * @param number the number in force
     * @param digest its digest
     * @return the changed payload
     */
    public Payload withConfiguration(long number, long digest) {
        return new Payload(clientAddress, dataCentre, region, number, digest, loadPermille);
    }

    /**
     * This payload with another load.
     *
     * @param permille load in thousandths of the capacity
     * @return the changed payload
     */
    public Payload withLoad(int permille) {
        return new Payload(clientAddress, dataCentre, region, configurationNumber, configurationDigest, permille);
    }
}
