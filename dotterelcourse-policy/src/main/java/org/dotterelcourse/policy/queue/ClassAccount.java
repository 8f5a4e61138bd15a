package org.dotterelcourse.policy.queue;

/**
 * What a class has been served against what it was promised, in work.
 *
 * <p>While a class waits it earns its minimum share of all work that the cell serves, and pays for what it is served.
 * It is owed service once its credit covers its largest request. Nothing is earned while nothing of it waits, else a
 * quiet class would save up and then hold the cell; and what it is served in the order of tiers is paid only as far as
 * the credit goes, else a class that was served well while there was room would pay for it during the next rush.
 */
final class ClassAccount {
    private double credit;
    private double cellWorkSeen;
    private double virtualTime;

    /**
     * Brings the credit up to the work that the cell has served so far.
     *
     * @param cellWork all of it
     * @param share the class's minimum share
     * @param most where earnings stop: what can't be placed for long must not hold the cell afterwards
     */
    void earn(double cellWork, double share, double most) {
        double earned = share * (cellWork - cellWorkSeen);
        cellWorkSeen = cellWork;
        credit = Math.min(credit + earned, Math.max(most, 0));
    }

    void pay(double work) {
        credit = Math.min(credit, Math.max(credit - work, 0));
    }

    /** Pays for work that turned out more than was paid for, or takes back what was paid too much. */
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

    /** A class that comes back doesn't bring the time it was away as a claim. */
    void catchUp(double tierTime) {
        virtualTime = Math.max(virtualTime, tierTime);
    }

    void passVirtualTime(double work, double weight) {
        virtualTime += work / weight;
    }
}
