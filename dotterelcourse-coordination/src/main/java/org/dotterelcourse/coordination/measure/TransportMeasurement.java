package org.dotterelcourse.coordination.measure;

import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

import com.sun.management.OperatingSystemMXBean;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.transport.PeerTransport;

/**
 * Measures what one message between two processes costs: two transports in this process, one message a few hundred
 * microseconds after the other as in control traffic, so that nothing is saved by batches that the fleet would not have.
 */
public final class TransportMeasurement {
    private static final String CHANNEL = "measure";
    private static final int WARM_UP = 20_000;
    private static final int MESSAGES = 40_000;
    private static final double NANOS_PER_MICRO = 1_000;

    private TransportMeasurement() {}

    /**
     * Prints a Markdown table.
     *
     * @param args none
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        System.out.println("| body bytes | messages a second | processor microseconds a message, both ends |");
        System.out.println("| ---: | ---: | ---: |");
        for (int bytes : new int[] {50, 200}) {
            for (int rate : new int[] {500, 2_000, 5_000}) {
                row(bytes, rate);
            }
        }
    }

    private static void row(int bytes, int rate) throws InterruptedException {
        try (PeerTransport sender = transport("sender");
                PeerTransport receiver = transport("receiver")) {
            AtomicLong received = new AtomicLong();
            receiver.registerHandler(CHANNEL, message -> received.incrementAndGet());
            send(sender, receiver, bytes, WARM_UP, 2 * rate + 5_000);
            received.set(0);
            int count = Math.min(MESSAGES, 8 * rate);
            OperatingSystemMXBean process = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            long idleNanos = idle(process, count, rate);
            long before = process.getProcessCpuTime();
            send(sender, receiver, bytes, count, rate);
            while (received.get() < count) {
                Thread.sleep(1);
            }
            long used = process.getProcessCpuTime() - before - idleNanos;
            System.out.printf(Locale.ROOT, "| %d | %d | %.1f |%n", bytes, rate, used / NANOS_PER_MICRO / count);
        }
    }

    /** What the pacing and the idle transports cost in the same time without messages. */
    private static long idle(OperatingSystemMXBean process, int count, int rate) throws InterruptedException {
        long before = process.getProcessCpuTime();
        for (int i = 0; i < count / perMilli(rate); i++) {
            Thread.sleep(1);
        }
        return process.getProcessCpuTime() - before;
    }

    private static void send(PeerTransport from, PeerTransport to, int bytes, int count, int rate)
            throws InterruptedException {
        byte[] body = new byte[bytes];
        int each = perMilli(rate);
        for (int sent = 0; sent < count; ) {
            for (int i = 0; i < each && sent < count; i++) {
                from.send(to.address(), CHANNEL, body);
                sent++;
            }
            Thread.sleep(Math.max(1, 1_000L * each / rate));
        }
    }

    private static int perMilli(int rate) {
        return Math.max(1, rate / 1_000);
    }

    private static PeerTransport transport(String name) {
        return PeerTransport.builder()
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .self(new MemberId(name, 1))
                .build()
                .start();
    }
}
