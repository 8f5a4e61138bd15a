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
 * Cuts an upstream's workers of one region into cells. One owner must be able to hold all of a cell's queue and grants,
 * so a cell is bounded; and a worker that comes or goes must not shuffle the others, since each move closes a grant
 * book in one place and opens it in another. Each worker goes to the cell with its highest rendezvous weight that has
 * room, and a full cell keeps those with the highest weights (deferred acceptance, Gale and Shapley 1962), whose result
 * does not depend on the order of the workers.
 */
public final class Cells {

    /** Most workers of a cell. */
    public static final int MAX_WORKERS = 64;

    /** Mean fill beyond one cell: leaves room so that few workers miss their first choice. */
    private static final int MEAN_WORKERS = 56;

    private Cells() {}

    /**
     * Cuts workers into cells.
     *
     * @param upstream the upstream's name
     * @param region the region of the workers
     * @param workers their names
     * @return cells in order of their index, none of them above {@link #MAX_WORKERS}; a cell may be empty
     */
    public static List<Cell> partition(String upstream, String region, Collection<String> workers) {
        List<CellId> ids = new ArrayList<>();
        for (int i = 0; i < count(workers.size()); i++) {
            ids.add(new CellId(upstream, region, i));
        }
        List<TreeSet<Placed>> filled = fill(ids, new TreeSet<>(workers));
        List<Cell> cells = new ArrayList<>();
        for (int i = 0; i < ids.size(); i++) {
            TreeSet<String> names = new TreeSet<>();
            for (Placed placed : filled.get(i)) {
                names.add(placed.worker);
            }
            cells.add(new Cell(ids.get(i), List.copyOf(names)));
        }
        return cells;
    }

    /**
     * How many cells a number of workers makes.
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

    private static List<TreeSet<Placed>> fill(List<CellId> ids, Collection<String> workers) {
        List<TreeSet<Placed>> cells = new ArrayList<>();
        for (int i = 0; i < ids.size(); i++) {
            cells.add(new TreeSet<>());
        }
        Map<String, Deque<Integer>> choices = new HashMap<>();
        Deque<String> waiting = new ArrayDeque<>(workers);
        while (!waiting.isEmpty()) {
            String worker = waiting.removeFirst();
            int choice =
                    choices.computeIfAbsent(worker, name -> choices(ids, name)).removeFirst();
            TreeSet<Placed> cell = cells.get(choice);
            cell.add(new Placed(worker, Rendezvous.weight(ids.get(choice).key(), worker)));
            if (cell.size() > MAX_WORKERS) {
                waiting.addLast(cell.pollFirst().worker);
            }
        }
        return cells;
    }

    private static Deque<Integer> choices(List<CellId> ids, String worker) {
        List<Integer> indexes = new ArrayList<>();
        for (int i = 0; i < ids.size(); i++) {
            indexes.add(i);
        }
        indexes.sort((a, b) -> Long.compareUnsigned(
                Rendezvous.weight(ids.get(b).key(), worker),
                Rendezvous.weight(ids.get(a).key(), worker)));
        return new ArrayDeque<>(indexes);
    }

    /** A worker in a cell, ordered by weight. */
    private record Placed(String worker, long weight) implements Comparable<Placed> {
        @Override
        public int compareTo(Placed other) {
            int byWeight = Long.compareUnsigned(weight, other.weight);
            return byWeight != 0 ? byWeight : worker.compareTo(other.worker);
        }
    }
}
