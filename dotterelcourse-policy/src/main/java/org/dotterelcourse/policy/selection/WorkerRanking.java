package org.dotterelcourse.policy.selection;

import java.util.ArrayList;
import java.util.List;

/**
 * The order of the engines of one upstream, which is the same in all processes: by a hash of the address, so that a worker
 * that restarts at its address keeps its rank, then by id.
 */
public final class WorkerRanking {
    private WorkerRanking() {}

    /**
     * Compares two workers by address and id.
     *
     * @param address address of the first worker
     * @param id id of the first worker
     * @param otherAddress address of the second worker
     * @param otherId id of the second worker
     * @return negative if the first worker ranks before the second one, positive if it ranks after it, else 0
     */
    public static int compare(String address, String id, String otherAddress, String otherId) {
        int order = Integer.compare(RankHash.hash(address), RankHash.hash(otherAddress));
        return order == 0 ? id.compareTo(otherId) : order;
    }

    /**
     * Ranks workers.
     *
     * @param workers the workers in any order
     * @return the workers in the order of their ranks; the given list if it is in that order already
     */
    static List<WorkerLoad> ranked(List<WorkerLoad> workers) {
        if (isRanked(workers)) {
            return workers;
        }
        List<WorkerLoad> ranked = new ArrayList<>(workers);
        ranked.sort(WorkerRanking::compare);
        return ranked;
    }

    private static boolean isRanked(List<WorkerLoad> workers) {
        for (int i = 1; i < workers.size(); i++) {
            if (compare(workers.get(i - 1), workers.get(i)) > 0) {
                return false;
            }
        }
        return true;
    }

    private static int compare(WorkerLoad first, WorkerLoad second) {
        return compare(first.address(), first.id(), second.address(), second.id());
    }
}
