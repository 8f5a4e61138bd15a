package org.dotterelcourse.daemon.platform;

/**
 * One line of the platform's list of VMs.
 *
 * @param name the VM's name
 * @param kind {@code entry} or {@code upstream}
 * @param address IP number and port
 * @param dataCentre its data centre
 * @param region its region
 * @param leaving whether the platform is taking it away
 */
public record Vm(String name, String kind, String address, String dataCentre, String region, boolean leaving) {
    /** The kind of a VM that runs a daemon. */
    public static final String ENTRY = "entry";
}
