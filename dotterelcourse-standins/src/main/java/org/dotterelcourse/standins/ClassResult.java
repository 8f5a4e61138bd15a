package org.dotterelcourse.standins;

/**
 * What became of one class's requests.
 *
 * @param name the class's name
 * @param sent how many were sent
 * @param answered how many got their whole and right answer
 * @param notRun how many were told that they were not run
 * @param unknown how many can't tell whether they were run
 * @param wrong how many got something that is not their answer
 * @param truncated how many got an end without all of their answer
 * @param cut how many of the unknown had a part of their answer when the connection broke
 * @param skipped how many were not sent because too many were in flight
 * @param attained how many were answered within the class's targets
 * @param firstMedianMillis the median to the first token or the whole call
 * @param first95Millis its 95th percentile
 * @param first99Millis its 99th percentile
 * @param interval95Millis the 95th percentile over requests of their 95th percentile between tokens
 * @param whole95Millis the 95th percentile to the end of the answer
 * @param tokens the tokens of all answers
 * @param goodTokens the tokens of answers within target
 * @param notRunButRan how many were told that they were not run, and ran; must be 0
 * @param duplicates how many non-idempotent ones ran more than once; must be 0
 */
public record ClassResult(
        String name,
        long sent,
        long answered,
        long notRun,
        long unknown,
        long wrong,
        long truncated,
        long cut,
        long skipped,
        long attained,
        double firstMedianMillis,
        double first95Millis,
        double first99Millis,
        double interval95Millis,
        double whole95Millis,
        long tokens,
        long goodTokens,
        long notRunButRan,
        long duplicates) {
    /**
     * The fraction of sent requests that were answered within target.
     *
     * @return 0 to 1; 1 if none was sent
     */
    public double attainment() {
        return sent == 0 ? 1 : (double) attained / sent;
    }
}
