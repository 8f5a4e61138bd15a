package org.dotterelcourse.coordination.grant.measure;

/** Measures the grant protocol and prints the tables of docs/measurements/GRANTS.md. */
public final class GrantMeasurements {
    private GrantMeasurements() {}

    /**
     * Runs all measurements and prints their results as Markdown.
     *
     * @param args ignored
     */
    public static void main(String[] args) {
        Heap.retainedBytes(() -> new byte[1]);
        CycleCost.print();
        StateSize.print();
        TakeOverCost.print();
        TicketSize.print();
    }
}
