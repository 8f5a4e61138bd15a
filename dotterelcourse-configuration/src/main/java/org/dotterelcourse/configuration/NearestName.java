package org.dotterelcourse.configuration;

import java.util.Collection;
import java.util.Optional;

/** Suggests the intended name for a misspelt one, by the optimal string alignment distance. */
public final class NearestName {
    /** Largest distance of a suggestion, as a fraction of the length of the longer name. */
    private static final double MAX_DISTANCE_FRACTION = 0.5;

    private NearestName() {}

    /**
     * Finds the candidate with the smallest distance.
     *
     * @param found the name as written
     * @param candidates the valid names
     * @return the nearest candidate, or empty if all are too different
     */
    public static Optional<String> of(String found, Collection<String> candidates) {
        String nearest = null;
        int smallestDistance = Integer.MAX_VALUE;
        for (String each : candidates) {
            int maxDistance = (int) (MAX_DISTANCE_FRACTION * Math.max(each.length(), found.length()));
            if (Math.abs(each.length() - found.length()) > maxDistance) {
                continue;
            }
            int distance = distance(found, each);
            if (distance <= maxDistance && distance < smallestDistance) {
                smallestDistance = distance;
                nearest = each;
            }
        }
        return Optional.ofNullable(nearest);
    }

    /**
     * Appends the nearest valid name to a name for an error message.
     *
     * @param found the name as written
     * @param candidates the valid names
     * @return {@code found}, followed by the nearest name in parentheses if there is one
     */
    public static String hint(String found, Collection<String> candidates) {
        return of(found, candidates)
                .map(name -> found + " (nearest: " + name + ")")
                .orElse(found);
    }

    private static int distance(String a, String b) {
        int[][] distance = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            distance[i][0] = i;
        }
        for (int j = 0; j <= b.length(); j++) {
            distance[0][j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            for (int j = 1; j <= b.length(); j++) {
                boolean same = a.charAt(i - 1) == b.charAt(j - 1);
                int substitution = distance[i - 1][j - 1] + (same ? 0 : 1);
                int insertionOrDeletion = 1 + Math.min(distance[i - 1][j], distance[i][j - 1]);
                distance[i][j] = Math.min(substitution, insertionOrDeletion);
                if (isTransposition(a, i, b, j)) {
                    distance[i][j] = Math.min(distance[i][j], 1 + distance[i - 2][j - 2]);
                }
            }
        }
        return distance[a.length()][b.length()];
    }

    private static boolean isTransposition(String a, int i, String b, int j) {
        return i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1);
    }
}
