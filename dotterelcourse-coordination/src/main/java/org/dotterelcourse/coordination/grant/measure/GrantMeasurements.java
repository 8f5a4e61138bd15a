package org.dotterelcourse.coordination.grant.measure;

/** Prints the tables of docs/measurements/GRANTS.md. */
public final class GrantMeasurements {
    private GrantMeasurements() {}

    /**
     * Measures and prints markdown.
     *
     * @param args none
     */
    public static void main(String[] args) {
        Heap.of(() -> new byte[1]);
        CycleCost.print();
        StateSize.print();
        TakeOverCost.print();
        TicketSize.print();
    }
}
