package org.dotterelcourse.coordination.order;

/**
 * The fencing number of an order: the number of the configuration that it follows, then a step within it. On the wire
 * both are one number that rises with either.
 *
 * @param number the configuration's number
 * @param step rises with each order to the same worker under the same configuration
 */
public record Fence(long number, int step) implements Comparable<Fence> {
    private static final int STEP_BITS = 16;
    private static final int MAX_STEP = (1 << STEP_BITS) - 1;

    /** Below every order's. */
    public static final Fence NONE = new Fence(0, 0);

    /**
     * Reads the wire's form.
     *
     * @param wire the number on the wire
     * @return the fence
     */
    public static Fence of(long wire) {
        return new Fence(wire >>> STEP_BITS, (int) (wire & MAX_STEP));
    }

    /**
     * The wire's form.
     *
     * @return the number on the wire
     */
    public long wire() {
        return number << STEP_BITS | step;
    }

    /** The fence of the next order to a worker that has seen this one; an engine accepts an equal number again. */
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
