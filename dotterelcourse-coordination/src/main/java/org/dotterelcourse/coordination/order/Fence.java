package org.dotterelcourse.coordination.order;

/**
 * The fencing token of an order: the number of the configuration that it implements and a step within this
 * configuration. Tokens are ordered by number, then by step. On the wire both are packed into one integer with the same
 * order.
 *
 * @param number the configuration's number
 * @param step increases with each order to the same worker under the same configuration, up to 65,535
 */
public record Fence(long number, int step) implements Comparable<Fence> {
    private static final int STEP_BITS = 16;
    private static final int MAX_STEP = (1 << STEP_BITS) - 1;

    /** Lower than the fencing token of any order. */
    public static final Fence NONE = new Fence(0, 0);

    /**
     * Unpacks a fencing token from its form on the wire.
     *
     * @param encoded the packed integer
     * @return the fencing token
     */
    public static Fence of(long encoded) {
        return new Fence(encoded >>> STEP_BITS, (int) (encoded & MAX_STEP));
    }

    /**
     * Packs this fencing token into its form on the wire.
     *
     * @return the packed integer: the number in the high bits, the step in the low 16 bits
     */
    public long wire() {
        return number << STEP_BITS | step;
    }

    /**
     * The token of the next order to a worker whose engine has received this one. At the highest step the token is
     * reused, since engines accept an equal token again.
     */
    Fence next(long configuration) {
        if (configuration > number) {
            return new Fence(configuration, 1);
        }
        return new Fence(configuration, Math.min(step + 1, MAX_STEP));
    }

    @Override
    public int compareTo(Fence other) {
        return Long.compare(wire(), other.wire());
    }
}
