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
 * @param grace the grace period after SIGTERM within which the process must end
 * @param clients the listen address for client requests
 * @param readiness the listen address of the readiness endpoint
 * @param addresses the listen address of the endpoint that lists the addresses clients may use
 * @param peers the listen address for peer processes, TCP and UDP
 * @param store the address of the platform's store
 * @param changesWithin the maximum time until a published change is in force on every process
 * @param seeds the addresses of the peers contacted first to join the cluster
 * @param repeatRatio the retry budget of an upstream, in retries per request
 * @param repeatExtra retries allowed across the whole fleet in each window in addition to {@code repeatRatio}
 * @param repeatWindow the length of the window over which retries are counted
 */
public record GatewaySettings(
        String name,
        String dataCentre,
        String region,
        Duration grace,
        String clients,
        String readiness,
        String addresses,
        String peers,
        String store,
        Duration changesWithin,
        List<String> seeds,
        double repeatRatio,
        double repeatExtra,
        Duration repeatWindow) {}
