package org.dotterelcourse.coordination.ownership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Partitions an upstream's workers of one region into cells. The size of a cell is bounded, as one owner has to hold its
 * whole queue and all its grants. Adding or removing a worker must move few others, because each move closes a worker's
 * grants at one owner and opens them at another. Each worker prefers the cells in order of its rendezvous weights, and a
 * full cell keeps the workers with the highest weights (deferred acceptance, Gale and Shapley, 1962); the result does not
 * depend on the order of the workers.
 */
public final class Cells {

    /** Maximum number of workers in a cell. */
    public static final int MAX_WORKERS = 64;

    /** Mean number of workers in a cell if there are several. The spare capacity lets most get their preferred cell. */
    private static final int MEAN_WORKERS = 56;

    private Cells() {}

    /**
     * Partitions workers into cells.
     *
     * @param upstream the upstream's name
     * @param region the region of the workers
     * @param workers names of the workers
     * @return the cells by index, each with at most {@link #MAX_WORKERS} workers; a cell may be empty
     */
    public static List<Cell> partition(String upstream, String region, Collection<String> workers) {
        List<CellId> ids = new ArrayList<>();
        for (int i = 0; i < count(workers.size()); i++) {
            ids.add(new CellId(upstream, region, i));
        }
        List<TreeSet<Assignment>> assigned = assign(ids, new TreeSet<>(workers));
        List<Cell> cells = new ArrayList<>();
        for (int i = 0; i < ids.size(); i++) {
            TreeSet<String> names = new TreeSet<>();
            for (Assignment assignment : assigned.get(i)) {
                names.add(assignment.worker);
            }
            cells.add(new Cell(ids.get(i), List.copyOf(names)));
        }
        return cells;
    }

    /**
     * Returns the number of cells for a number of workers.
     *
     * @param workers the number of workers
     * @return the number of cells, 0 for no workers
     */
    public static int count(int workers) {
        if (workers == 0) {
            return 0;
        }
        return workers <= MAX_WORKERS ? 1 : (workers + MEAN_WORKERS - 1) / MEAN_WORKERS;
    }

    private static List<TreeSet<Assignment>> assign(List<CellId> ids, Collection<String> workers) {
        List<TreeSet<Assignment>> cells = new ArrayList<>();
        for (int i = 0; i < ids.size(); i++) {
            cells.add(new TreeSet<>());
        }
        Map<String, Deque<Integer>> preferences = new HashMap<>();
        Deque<String> unassigned = new ArrayDeque<>(workers);
        while (!unassigned.isEmpty()) {
            String worker = unassigned.removeFirst();
            int preferred = preferences
                    .computeIfAbsent(worker, name -> preferences(ids, name))
                    .removeFirst();
            TreeSet<Assignment> cell = cells.get(preferred);
            cell.add(new Assignment(worker, Rendezvous.weight(ids.get(preferred).key(), worker)));
            if (cell.size() > MAX_WORKERS) {
                unassigned.addLast(cell.pollFirst().worker);
            }
        }
        return cells;
    }

    private static Deque<Integer> preferences(List<CellId> ids, String worker) {
        List<Integer> indexes = new ArrayList<>();
        for (int i = 0; i < ids.size(); i++) {
            indexes.add(i);
        }
        indexes.sort((a, b) -> Long.compareUnsigned(
                Rendezvous.weight(ids.get(b).key(), worker),
                Rendezvous.weight(ids.get(a).key(), worker)));
        return new ArrayDeque<>(indexes);
    }

    /** The assignment of a worker to a cell, ordered by rendezvous weight. */
    private record Assignment(String worker, long weight) implements Comparable<Assignment> {
        @Override
        public int compareTo(Assignment other) {
            int byWeight = Long.compareUnsigned(weight, other.weight);
            return byWeight != 0 ? byWeight : worker.compareTo(other.worker);
        }
    }
}
