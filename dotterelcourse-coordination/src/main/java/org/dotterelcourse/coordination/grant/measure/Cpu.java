package org.dotterelcourse.coordination.grant.measure;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** CPU time of the current thread, which excludes that of other processes on the machine. */
final class Cpu {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private Cpu() {}

    /** CPU time of the current thread since an arbitrary origin, in nanoseconds. */
    static long threadNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }
}
