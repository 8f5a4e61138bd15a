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
        String auditFile) {}
