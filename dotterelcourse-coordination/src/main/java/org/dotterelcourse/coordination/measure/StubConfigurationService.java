package org.dotterelcourse.coordination.measure;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.dotterelcourse.coordination.configuration.Content;
import org.dotterelcourse.coordination.configuration.Entry;
import org.dotterelcourse.coordination.configuration.EntryReducer;
import org.dotterelcourse.coordination.configuration.RelayEffect;
import org.dotterelcourse.coordination.configuration.RelayEvent;

/** In-memory configuration service with patches of typical size. */
final class StubConfigurationService {

    private static final int PATCH_BYTES = 700;
    private static final int DOCUMENT_BYTES = 64_000;
    private static final long READ_LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long WATCH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final List<Entry> entries = new ArrayList<>();
    private final List<PendingWatch> watches = new ArrayList<>();

    private record PendingWatch(MeasuredNode node, long after) {}

    StubConfigurationService() {
        entries.add(new Entry(1, true, paddedText("whole", DOCUMENT_BYTES)));
    }

    /** Applies a patch by overwriting the start of the document, so that the document keeps its size. */
    static EntryReducer.Result fold(Optional<Content> inForce, Entry entry) {
        if (entry.whole()) {
            return new EntryReducer.Accepted(entry.body());
        }
        byte[] bytes = inForce.orElseThrow().bytes().clone();
        System.arraycopy(entry.body(), 0, bytes, 0, entry.body().length);
        return new EntryReducer.Accepted(bytes);
    }

    synchronized long publish() {
        long number = entries.size() + 1;
        entries.add(new Entry(number, false, paddedText("patch " + number, PATCH_BYTES)));
        for (PendingWatch pending : watches) {
            pending.node.deliverToRelay(new RelayEvent.HeadRead(number), 0);
        }
        watches.clear();
        return number;
    }

    synchronized void handleRead(MeasuredNode node, RelayEffect read) {
        if (read instanceof RelayEffect.Watch watch) {
            startWatch(node, watch.after());
        } else if (read instanceof RelayEffect.FetchHead) {
            node.deliverToRelay(new RelayEvent.HeadRead(entries.size()), READ_LATENCY_NANOS);
        } else if (read instanceof RelayEffect.FetchWhole) {
            node.deliverToRelay(new RelayEvent.EntryRead(entries.get(0)), READ_LATENCY_NANOS);
        } else if (read instanceof RelayEffect.Fetch fetch) {
            boolean exists = fetch.number() <= entries.size();
            RelayEvent answer = exists
                    ? new RelayEvent.EntryRead(entries.get((int) fetch.number() - 1))
                    : new RelayEvent.EntryMissing();
            node.deliverToRelay(answer, READ_LATENCY_NANOS);
        }
    }

    private void startWatch(MeasuredNode node, long after) {
        if (entries.size() > after) {
            node.deliverToRelay(new RelayEvent.HeadRead(entries.size()), 0);
            return;
        }
        PendingWatch pending = new PendingWatch(node, after);
        watches.add(pending);
        node.schedule(() -> endWatch(pending), WATCH_TIMEOUT_NANOS);
    }

    private synchronized void endWatch(PendingWatch pending) {
        if (watches.remove(pending)) {
            pending.node.deliverToRelay(new RelayEvent.WatchEnded(), 0);
        }
    }

    private static byte[] paddedText(String start, int size) {
        return (start + "\n" + "x".repeat(size)).substring(0, size).getBytes(StandardCharsets.US_ASCII);
    }
}
