package org.dotterelcourse.coordination.measure;

import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

import com.sun.management.OperatingSystemMXBean;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.transport.PeerTransport;

/**
 * Measures the CPU time of a message between two peers, with two transports in this process. Messages are sent at the
 * rates of control traffic, a few hundred microseconds apart, because batches, which do not occur in a fleet, would
 * lower the cost.
 */
public final class TransportMeasurement {
    private static final String CHANNEL = "measure";
    private static final int WARM_UP_MESSAGES = 20_000;
    private static final int MAX_MESSAGES = 40_000;
    private static final double NANOS_PER_MICRO = 1_000;

    private TransportMeasurement() {}

    /**
     * Prints the results as a Markdown table.
     *
     * @param args ignored
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        System.out.println("| body bytes | messages per second | CPU microseconds per message, both ends |");
        System.out.println("| ---: | ---: | ---: |");
        for (int bytes : new int[] {50, 200}) {
            for (int rate : new int[] {500, 2_000, 5_000}) {
                printRow(bytes, rate);
            }
        }
    }

    private static void printRow(int bytes, int rate) throws InterruptedException {
        try (PeerTransport sender = startTransport("sender");
                PeerTransport receiver = startTransport("receiver")) {
            AtomicLong received = new AtomicLong();
            receiver.registerHandler(CHANNEL, message -> received.incrementAndGet());
            sendAtRate(sender, receiver, bytes, WARM_UP_MESSAGES, 2 * rate + 5_000);
            received.set(0);
            int count = Math.min(MAX_MESSAGES, 8 * rate);
            OperatingSystemMXBean process = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            long idleNanos = idleCpuNanos(process, count, rate);
            long startCpuNanos = process.getProcessCpuTime();
            sendAtRate(sender, receiver, bytes, count, rate);
            while (received.get() < count) {
                Thread.sleep(1);
            }
            long usedNanos = process.getProcessCpuTime() - startCpuNanos - idleNanos;
            System.out.printf(Locale.ROOT, "| %d | %d | %.1f |%n", bytes, rate, usedNanos / NANOS_PER_MICRO / count);
        }
    }

    /** CPU time of the pacing and the idle transports in the same period without messages. */
    private static long idleCpuNanos(OperatingSystemMXBean process, int count, int rate) throws InterruptedException {
        long startCpuNanos = process.getProcessCpuTime();
        for (int i = 0; i < count / messagesPerMilli(rate); i++) {
            Thread.sleep(1);
        }
        return process.getProcessCpuTime() - startCpuNanos;
    }

    private static void sendAtRate(PeerTransport from, PeerTransport to, int bytes, int count, int rate)
            throws InterruptedException {
        byte[] body = new byte[bytes];
        int batchSize = messagesPerMilli(rate);
        for (int sent = 0; sent < count; ) {
            for (int i = 0; i < batchSize && sent < count; i++) {
                from.send(to.address(), CHANNEL, body);
                sent++;
            }
            Thread.sleep(Math.max(1, 1_000L * batchSize / rate));
        }
    }

    private static int messagesPerMilli(int rate) {
        return Math.max(1, rate / 1_000);
    }

    private static PeerTransport startTransport(String name) {
        return PeerTransport.builder()
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .self(new MemberId(name, 1))
                .build()
                .start();
    }
}
