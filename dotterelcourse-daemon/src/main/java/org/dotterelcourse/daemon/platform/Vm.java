package org.dotterelcourse.daemon.platform;

/**
 * One VM in the platform's list.
 *
 * @param name name of the VM, as assigned by the platform
 * @param kind {@code entry} for a VM that runs a daemon, {@code upstream} for a VM that runs an upstream
 * @param address IP address and port
 * @param dataCentre name of the VM's data centre
 * @param region name of the VM's region
 * @param leaving whether the platform is about to remove the VM
 */
public record Vm(String name, String kind, String address, String dataCentre, String region, boolean leaving) {
    /** Value of {@link #kind} for a VM that runs a daemon. */
    public static final String ENTRY = "entry";
}
