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

/** A published sequence in memory, with entries of a size that is usual for a patch. */
final class MeasuredService {

    private static final int PATCH_BYTES = 700;
    private static final int WHOLE_BYTES = 64_000;
    private static final long READ_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long WATCH_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final List<Entry> entries = new ArrayList<>();
    private final List<Waiting> watches = new ArrayList<>();

    private record Waiting(MeasuredNode node, long after) {}

    MeasuredService() {
        entries.add(new Entry(1, true, text("whole", WHOLE_BYTES)));
    }

    /** Keeps the size of the document: the newest patch takes the place of the last one. */
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
        entries.add(new Entry(number, false, text("patch " + number, PATCH_BYTES)));
        for (Waiting waiting : watches) {
            waiting.node.answer(new RelayEvent.HeadRead(number), 0);
        }
        watches.clear();
        return number;
    }

    synchronized void read(MeasuredNode node, RelayEffect read) {
        if (read instanceof RelayEffect.Watch watch) {
            watch(node, watch.after());
        } else if (read instanceof RelayEffect.FetchHead) {
            node.answer(new RelayEvent.HeadRead(entries.size()), READ_NANOS);
        } else if (read instanceof RelayEffect.FetchWhole) {
            node.answer(new RelayEvent.EntryRead(entries.get(0)), READ_NANOS);
        } else if (read instanceof RelayEffect.Fetch fetch) {
            boolean there = fetch.number() <= entries.size();
            RelayEvent answer = there
                    ? new RelayEvent.EntryRead(entries.get((int) fetch.number() - 1))
                    : new RelayEvent.EntryMissing();
            node.answer(answer, READ_NANOS);
        }
    }

    private void watch(MeasuredNode node, long after) {
        if (entries.size() > after) {
            node.answer(new RelayEvent.HeadRead(entries.size()), 0);
            return;
        }
        Waiting waiting = new Waiting(node, after);
        watches.add(waiting);
        node.later(() -> end(waiting), WATCH_NANOS);
    }

    private synchronized void end(Waiting waiting) {
        if (watches.remove(waiting)) {
            waiting.node.answer(new RelayEvent.WatchEnded(), 0);
        }
    }

    private static byte[] text(String start, int size) {
        return (start + "\n" + "x".repeat(size)).substring(0, size).getBytes(StandardCharsets.US_ASCII);
    }
}
