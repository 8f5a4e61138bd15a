package org.dotterelcourse.coordination.grant.measure;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Processor time of this thread, which other processes on the machine don't add to. */
final class Cpu {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private Cpu() {}

    /** Nanoseconds since some fixed point. */
    static long nanos() {
        return THREADS.getCurrentThreadCpuTime();
    }
}
