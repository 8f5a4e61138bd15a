package org.dotterelcourse.policy.selection;

/**
 * What one upstream's engines take for the streams that can wait, learned from those that this process has sent there.
 *
 * <p>It answers engines and prompts that nobody has described beforehand: how many streams an engine can have under way
 * follows from how long its steps are, how much the prompts are to read and how long the answers get.
 */
public final class EngineModel {
    /** Weight of the newest prompt or answer in the means: the last fifty or so decide, some seconds of a usual load. */
    private static final double NEWEST = 0.02;

    /**
     * Assumed for the time of a step before any was seen. It is outweighed within a few dozen events, of which a single
     * stream has as many.
     */
    private static final double FIRST_STEP_MILLIS = 8;

    /**
     * Which part of the steps is faster than the estimate. Steps that carry a chunk of a prompt are several times as long;
     * the estimate is to be one without, and these are more than a fifth wherever streams get on at all.
     */
    private static final double QUANTILE = 0.2;

    /** How far one step moves the estimate, as a part of it. */
    private static final double MOVE = 0.05;

    private double stepMillis = FIRST_STEP_MILLIS;
    private double prefillMillis;
    private double answerTokens;
    private double startMillis;
    private double startDeviation;
    private long starts;
    private long answers;
    private long prompts;

    /**
     * A stream that can wait was sent to an engine.
     *
     * @param prefill what is to be read of its prompt there, in milliseconds
     * @param mostTokens the most tokens that its answer may have
     */
    public void recordDispatch(double prefill, int mostTokens) {
        prompts++;
        prefillMillis += weight(prompts) * (prefill - prefillMillis);
        if (answers == 0) {
            answerTokens = mostTokens;
        }
    }

    /**
     * The first event of such a stream came.
     *
     * @param millis the time since it was sent to the engine
     */
    public void recordFirstEvent(double millis) {
        starts++;
        startDeviation += weight(starts) * (Math.abs(millis - startMillis) - startDeviation);
        startMillis += weight(starts) * (millis - startMillis);
    }

    /**
     * How long before its target such a stream should be at an engine to be on time: the mean of the time to its first event
     * and one mean deviation, as retransmission timers use them.
     *
     * @return milliseconds, 0 before the first one
     */
    public double leadTimeMillis() {
        return startMillis + startDeviation;
    }

    /**
     * Such a stream has ended whole.
     *
     * @param tokens the tokens of its answer
     */
    public void recordCompletion(int tokens) {
        answers++;
        answerTokens += weight(answers) * (tokens - answerTokens);
    }

    /**
     * An event of any stream came, some time after the one before.
     *
     * @param pauseMillis the time between them; 0 if it was the first
     * @param tokensPerEvent how many tokens, one a step, an engine puts into one event
     */
    public void recordEventGap(double pauseMillis, int tokensPerEvent) {
        if (pauseMillis <= 0) {
            return;
        }
        double step = pauseMillis / Math.max(1, tokensPerEvent);
        stepMillis *= step < stepMillis ? 1 - MOVE * (1 - QUANTILE) : 1 + MOVE * QUANTILE;
    }

    /**
     * The time of a step that reads no prompt.
     *
     * @return milliseconds
     */
    public double stepMillis() {
        return stepMillis;
    }

    /**
     * Mean time that an engine reads for a stream that can wait.
     *
     * @return milliseconds, 0 before the first one
     */
    public double prefillMillis() {
        return prefillMillis;
    }

    /**
     * How many streams that can wait an engine may have under way, so that a usual one ends within a time.
     *
     * <p>An engine reads prompts before it goes on with answers, and a step that reads takes many times as long as one that
     * doesn't. With prompts always waiting, answers get a token in the time of a whole chunk; they end late or never, and
     * all that was read for them is lost. By the mean value formula of a closed queue with one server (reading) and one
     * delay (the answer, stretched by the part of the time in which the engine reads), n streams stay for a time T with
     * {@code T^2 - T (w + n w + s) + n w^2 = 0}, where w is the time to read one and s that of its answer alone; solved
     * for n.
     *
     * @param withinMillis the time in which a usual stream is to end
     * @return at least 1
     */
    public int maxStreamsWithin(double withinMillis) {
        double read = Math.max(1, prefillMillis);
        double answer = answerTokens * stepMillis;
        double spare = withinMillis - read - answer;
        if (spare <= 0) {
            return 1;
        }
        return (int) Math.max(1, withinMillis * spare / (read * (withinMillis - read)));
    }

    private static double weight(long count) {
        return Math.max(NEWEST, 1.0 / count);
    }
}
