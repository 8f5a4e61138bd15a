package org.dotterelcourse.coordination.configuration;

import java.util.List;
import java.util.Optional;

/**
 * How far a process has decided. A refused entry is decided as well: the position moves past it, since every process
 * refuses it alike and a fleet that waited there could never be patched again. The number in force stays at the last
 * accepted entry, and it is this number that the next patch must name as its base.
 *
 * @param position the last decided entry, 0 before the first
 * @param content what is in force
 */
record FoldState(long position, Optional<Content> content) {

    static final FoldState EMPTY = new FoldState(0, Optional.empty());

    /** The state after an entry, and findings when it was refused. */
    record Step(FoldState state, List<String> findings) {}

    long number() {
        return content.map(Content::number).orElse(0L);
    }

    long digest() {
        return content.map(Content::digest).orElse(0L);
    }

    /** A whole document may be taken from any lower position; a patch only directly after the entry before it. */
    boolean takes(Entry entry) {
        if (entry.whole()) {
            return entry.number() > position;
        }
        return position > 0 && entry.number() == position + 1;
    }

    /** A refused whole document decides nothing for a process that has skipped entries to reach it. */
    Step next(EntryReducer folder, Entry entry) {
        EntryReducer.Result result = folder.fold(content, entry);
        if (result instanceof EntryReducer.Accepted accepted) {
            Content folded = Content.of(entry.number(), accepted.bytes());
            return new Step(new FoldState(entry.number(), Optional.of(folded)), List.of());
        }
        List<String> findings = ((EntryReducer.Refused) result).findings();
        boolean skipped = entry.number() != position + 1;
        return new Step(skipped ? this : new FoldState(entry.number(), content), findings);
    }
}
