package org.dotterelcourse.policy.queue;

/**
 * Compares the work served for a class with its minimum share, as a credit in output tokens.
 *
 * <p>While a class has queued requests, it earns its minimum share of all work that the cell serves, and is debited for
 * the work that is served for it. It counts as below its share once its credit covers its largest request. It earns nothing while
 * it has no queued requests; otherwise an idle class would accumulate credit and then monopolise the cell. Work that is
 * served in tier order is debited only down to a credit of zero; otherwise a class that was served well while there was
 * spare capacity would be penalised for it during the next overload.
 */
final class ClassAccount {
    private double credit;
    private double lastCellWork;
    private double virtualTime;

    /**
     * Credits the class with its share of the work that the cell has served since the last call.
     *
     * @param cellWork all work that the cell has served so far, in output tokens
     * @param share minimum share of the class, as a fraction of the cell's work
     * @param maxCredit upper limit of the credit, so that a class whose requests could not be placed for long does not
     *     monopolise the cell afterwards
     */
    void accrue(double cellWork, double share, double maxCredit) {
        double earned = share * (cellWork - lastCellWork);
        lastCellWork = cellWork;
        credit = Math.min(credit + earned, Math.max(maxCredit, 0));
    }

    void debit(double work) {
        credit = Math.min(credit, Math.max(credit - work, 0));
    }

    /** Debits work beyond the estimate that was debited, or refunds the part of the estimate that was not used. */
    void correct(double difference, double actual) {
        double corrected = Math.max(credit - difference, -actual);
        credit = difference > 0 ? Math.min(credit, corrected) : credit - difference;
    }

    double credit() {
        return credit;
    }

    double virtualTime() {
        return virtualTime;
    }

    /** Moves the virtual time up to that of the tier, so that a class gains no claim from the time it was idle. */
    void catchUp(double tierVirtualTime) {
        virtualTime = Math.max(virtualTime, tierVirtualTime);
    }

    void advanceVirtualTime(double work, double weight) {
        virtualTime += work / weight;
    }
}
