package org.dotterelcourse.gateway.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Map;

import com.google.protobuf.CodedOutputStream;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.workers.PeerLoads;

/**
 * Loads of workers in the units of a report, sorted by worker. Encodes them as a {@code WorkerLoads} message, also with
 * some rows replaced, so that a collector sums up and converts the loads once for all of its reporters.
 */
final class LoadColumns {
    private static final int COLUMNS = 6;
    private static final int IN_FLIGHT = 0;
    private static final int INTERACTIVE = 1;
    private static final int PREFILL_MILLIS = 2;
    private static final int SUCCEEDED = 3;
    private static final int FAILED = 4;
    private static final int ASKED = 5;

    /** Field number of the first column; the others follow in the order of the constants. */
    private static final int FIRST_FIELD = FleetProtos.WorkerLoads.IN_FLIGHT_FIELD_NUMBER;

    private final int[] workers;
    private final int[][] values;

    LoadColumns(Map<Integer, PeerLoads.Load> loads) {
        workers = new int[loads.size()];
        int count = 0;
        for (Integer worker : loads.keySet()) {
            workers[count++] = worker;
        }
        Arrays.sort(workers);
        values = new int[COLUMNS][workers.length];
        for (int row = 0; row < workers.length; row++) {
            setRow(values, row, loads.get(workers[row]));
        }
    }

    private static void setRow(int[][] columns, int row, PeerLoads.Load load) {
        columns[IN_FLIGHT][row] = load.inFlight();
        columns[INTERACTIVE][row] = load.interactive();
        columns[PREFILL_MILLIS][row] = (int) Math.round(load.prefillMillis());
        columns[SUCCEEDED][row] = (int) Math.round(LoadCodec.UNITS_PER_OUTCOME * load.succeeded());
        columns[FAILED][row] = (int) Math.round(LoadCodec.UNITS_PER_OUTCOME * load.failed());
        columns[ASKED][row] = load.asked();
    }

    int rows() {
        return workers.length;
    }

    /**
     * Returns whether these loads must be reported although earlier ones were reported recently: requests have started or
     * ended, or there are new outcomes. Recent outcomes that have only decayed can wait.
     */
    boolean isNews(LoadColumns earlier) {
        if (!Arrays.equals(workers, earlier.workers)
                || !Arrays.equals(values[IN_FLIGHT], earlier.values[IN_FLIGHT])
                || !Arrays.equals(values[INTERACTIVE], earlier.values[INTERACTIVE])
                || !Arrays.equals(values[ASKED], earlier.values[ASKED])
                || !Arrays.equals(values[PREFILL_MILLIS], earlier.values[PREFILL_MILLIS])) {
            return true;
        }
        for (int row = 0; row < workers.length; row++) {
            if (values[SUCCEEDED][row] > earlier.values[SUCCEEDED][row]
                    || values[FAILED][row] > earlier.values[FAILED][row]) {
                return true;
            }
        }
        return false;
    }

    /** Encodes all rows as a {@code WorkerLoads} message. */
    byte[] encode() {
        return encode(workers, values);
    }

    /**
     * Encodes all rows, some of them with other loads. Rows of workers that are not in these columns are ignored.
     *
     * @param replaced loads by incarnation of the worker, in place of the load of the same worker here
     */
    byte[] encode(Map<Integer, PeerLoads.Load> replaced) {
        if (replaced.isEmpty()) {
            return encode();
        }
        int[][] changed = new int[COLUMNS][];
        Arrays.setAll(changed, column -> values[column].clone());
        for (Map.Entry<Integer, PeerLoads.Load> entry : replaced.entrySet()) {
            int row = Arrays.binarySearch(workers, entry.getKey());
            if (row >= 0) {
                setRow(changed, row, entry.getValue());
            }
        }
        return encode(workers, changed);
    }

    private static byte[] encode(int[] workers, int[][] values) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(workers.length * (Integer.BYTES + 2 * COLUMNS));
        try {
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            if (workers.length > 0) {
                out.writeTag(FleetProtos.WorkerLoads.WORKER_FIELD_NUMBER, 2);
                out.writeUInt32NoTag(workers.length * Integer.BYTES);
                for (int worker : workers) {
                    out.writeFixed32NoTag(worker);
                }
                for (int column = 0; column < COLUMNS; column++) {
                    if (column != ASKED || hasAsked(values)) {
                        writeColumn(out, FIRST_FIELD + column, values[column]);
                    }
                }
            }
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Returns whether a slot was asked for at all; only then the column is sent. */
    private static boolean hasAsked(int[][] values) {
        return Arrays.stream(values[ASKED]).anyMatch(asked -> asked > 0);
    }

    private static void writeColumn(CodedOutputStream out, int field, int[] column) throws IOException {
        int size = 0;
        for (int value : column) {
            size += CodedOutputStream.computeUInt32SizeNoTag(value);
        }
        out.writeTag(field, 2);
        out.writeUInt32NoTag(size);
        for (int value : column) {
            out.writeUInt32NoTag(value);
        }
    }
}
