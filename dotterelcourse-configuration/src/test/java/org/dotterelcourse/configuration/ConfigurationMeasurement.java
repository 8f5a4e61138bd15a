package org.dotterelcourse.configuration;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Supplier;

import com.sun.management.ThreadMXBean;

/**
 * Measures the time and memory needed to read a document, to apply a patch of one key and to render the result, by
 * number of customers. Run by hand; docs/measurements/CONFIGURATION.md contains the results and the command.
 */
public final class ConfigurationMeasurement {
    private static final int[] CUSTOMER_COUNTS = {100, 1_000, 5_000, 18_000};
    private static final int WARM_UP_ROUNDS = 20;
    private static final int ROUNDS = 31;
    private static final long MAX_VALUE_BYTES = 1 << 20;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;
    private static final String PATCH = """
            [patch]
            base = 1
            author = measurement
            reason = one key

            [set customer customer-00042]
            requests-per-second = %d
            """;

    private ConfigurationMeasurement() {}

    /**
     * Prints the results as a table.
     *
     * @param args the path of the document to which customers are added
     * @throws IOException if the document can't be read
     */
    public static void main(String[] args) throws IOException {
        String template = Files.readString(Path.of(args[0]));
        System.out.printf(
                "java %s, %d processors%n",
                Runtime.version(), Runtime.getRuntime().availableProcessors());
        System.out.println("| customers | document MB | held MB | read ms | read allocates MB | fold ms | fold worst ms"
                + " | fold allocates MB | render ms | render allocates MB |");
        System.out.println("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
        for (int customers : CUSTOMER_COUNTS) {
            System.out.println(row(template, customers));
        }
        System.out.println("customers that fit a value of 1 MB: " + customersThatFitLargestValue(template));
    }

    private static String row(String template, int customers) {
        IniConfigurationReader reader = new IniConfigurationReader();
        String text = document(template, customers);
        double documentMegabytes = text.getBytes(StandardCharsets.UTF_8).length / BYTES_PER_MEGABYTE;
        Cost read = cost(() -> reader.read(1, "whole", text));
        long heapBefore = usedHeap();
        Configuration base = valid(reader.read(1, "whole", text));
        double heldMegabytes = (usedHeap() - heapBefore) / BYTES_PER_MEGABYTE;
        int[] rate = {1};
        Cost fold = cost(() -> reader.fold(base, 2, "patch", PATCH.formatted(rate[0]++)));
        Cost render = cost(() -> ConfigurationText.render(base));
        return String.format(
                Locale.ROOT,
                "| %d | %.2f | %.1f | %.2f | %.1f | %.2f | %.2f | %.2f | %.2f | %.2f |",
                customers,
                documentMegabytes,
                heldMegabytes,
                read.medianMillis,
                read.allocatedMegabytes,
                fold.medianMillis,
                fold.worstMillis,
                fold.allocatedMegabytes,
                render.medianMillis,
                render.allocatedMegabytes);
    }

    private static Cost cost(Supplier<?> operation) {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            requireValid(operation.get());
        }
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        double[] millis = new double[ROUNDS];
        long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
        for (int round = 0; round < ROUNDS; round++) {
            long start = System.nanoTime();
            Object result = operation.get();
            millis[round] = (System.nanoTime() - start) / NANOS_PER_MILLI;
            requireValid(result);
        }
        long allocated = threads.getCurrentThreadAllocatedBytes() - allocatedBefore;
        Arrays.sort(millis);
        return new Cost(millis[ROUNDS / 2], millis[ROUNDS - 1], allocated / (BYTES_PER_MEGABYTE * ROUNDS));
    }

    private static long usedHeap() {
        System.gc();
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void requireValid(Object result) {
        if (result instanceof Checked.Invalid<?> invalid) {
            throw new IllegalStateException(invalid.findings().toString());
        }
    }

    private static Configuration valid(Checked<Configuration> checked) {
        requireValid(checked);
        return ((Checked.Valid<Configuration>) checked).value();
    }

    private static long customersThatFitLargestValue(String template) {
        long lengthWithoutCustomers = document(template, 0).length();
        long lengthPerCustomer = document(template, 1).length() - lengthWithoutCustomers;
        return (MAX_VALUE_BYTES - lengthWithoutCustomers) / lengthPerCustomer;
    }

    private static String document(String template, int customers) {
        StringBuilder text = new StringBuilder(template);
        for (int i = 0; i < customers; i++) {
            String name = "customer-%05d".formatted(i);
            text.append("\n[customer ").append(name).append("]\nkey-sha256 = ").append(ConfigurationText.sha256(name));
            text.append("\nclasses = coupon-date-question, payout, redemption-statement, teller-eligibility");
            text.append("\ndefault-class = teller-eligibility");
            text.append("\nrequests-per-second = 12.5\ntokens-per-second = 20000\n");
        }
        return text.toString();
    }

    private record Cost(double medianMillis, double worstMillis, double allocatedMegabytes) {}
}
