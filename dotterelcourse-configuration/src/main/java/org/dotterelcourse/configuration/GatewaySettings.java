package org.dotterelcourse.configuration;

import java.time.Duration;
import java.util.List;

/**
 * The settings of one process that routes by host and path, from its INI file. Every address is an IP number and port.
 *
 * @param name the VM's name, unique in the fleet
 * @param dataCentre its data centre
 * @param region its region
 * @param grace how long after SIGTERM the process may go on
 * @param clients where it listens for clients
 * @param readiness where it tells whether it is ready
 * @param addresses where it tells which addresses to use
 * @param peers where it listens for other processes, TCP and UDP
 * @param store the platform's store
 * @param changesWithin the time within which published changes must be in force everywhere
 * @param seeds peers' addresses to begin with
 * @param repeatRatio repeats that an upstream may be sent for each request
 * @param repeatExtra repeats in a window beside these, of the whole fleet
 * @param repeatWindow the window's length
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
