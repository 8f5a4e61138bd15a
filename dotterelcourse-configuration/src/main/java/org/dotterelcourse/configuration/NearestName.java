package org.dotterelcourse.configuration;

import java.util.Collection;
import java.util.Optional;

/** Finds the known name that somebody probably meant, by the optimal string alignment distance. */
public final class NearestName {
    /** A name counts as meant if no more than this fraction of its characters differ. */
    private static final double LARGEST_FRACTION = 0.5;

    private NearestName() {}

    /**
     * Finds the nearest name.
     *
     * @param found what was written
     * @param known the names that exist
     * @return the nearest one, or empty if none is near
     */
    public static Optional<String> of(String found, Collection<String> known) {
        String nearest = null;
        int smallest = Integer.MAX_VALUE;
        for (String each : known) {
            int bound = (int) (LARGEST_FRACTION * Math.max(each.length(), found.length()));
            if (Math.abs(each.length() - found.length()) > bound) {
                continue;
            }
            int distance = distance(found, each);
            if (distance <= bound && distance < smallest) {
                smallest = distance;
                nearest = each;
            }
        }
        return Optional.ofNullable(nearest);
    }

    /**
     * Writes what was found, with the name that was probably meant.
     *
     * @param found what was written
     * @param known the names that exist
     * @return {@code found}, and the nearest name in brackets if there is one
     */
    public static String hint(String found, Collection<String> known) {
        return of(found, known).map(name -> found + " (nearest: " + name + ")").orElse(found);
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
                int replaced = distance[i - 1][j - 1] + (same ? 0 : 1);
                int moved = 1 + Math.min(distance[i - 1][j], distance[i][j - 1]);
                distance[i][j] = Math.min(replaced, moved);
                if (isSwap(a, i, b, j)) {
                    distance[i][j] = Math.min(distance[i][j], 1 + distance[i - 2][j - 2]);
                }
            }
        }
        return distance[a.length()][b.length()];
    }

    private static boolean isSwap(String a, int i, String b, int j) {
        return i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1);
    }
}
