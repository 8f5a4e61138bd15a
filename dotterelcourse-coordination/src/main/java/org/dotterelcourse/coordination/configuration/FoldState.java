package org.dotterelcourse.coordination.configuration;

import java.util.List;
import java.util.Optional;

/**
 * The result of folding all entries up to a position. The position also moves past refused entries: every process
 * refuses the same ones, and a fleet that stopped at a refused entry could never be patched again. The number in force
 * is that of the last accepted entry, and the next patch must name this number as its base.
 *
 * @param position number of the last entry that was accepted or refused, 0 before the first
 * @param content the content in force, or empty before the first document
 */
record FoldState(long position, Optional<Content> content) {

    static final FoldState EMPTY = new FoldState(0, Optional.empty());

    /** The state after an entry, with the findings if the entry was refused and an empty list otherwise. */
    record Transition(FoldState state, List<String> findings) {}

    long number() {
        return content.map(Content::number).orElse(0L);
    }

    long digest() {
        return content.map(Content::digest).orElse(0L);
    }

    /** Whether an entry may follow: a whole document from any lower position, a patch only if no entry is skipped. */
    boolean canApply(Entry entry) {
        if (entry.whole()) {
            return entry.number() > position;
        }
        return position > 0 && entry.number() == position + 1;
    }

    /**
     * Folds an entry. If a whole document is refused that would skip entries, the position stays: the skipped entries
     * may still be accepted.
     */
    Transition apply(EntryReducer reducer, Entry entry) {
        EntryReducer.Result result = reducer.fold(content, entry);
        if (result instanceof EntryReducer.Accepted accepted) {
            Content folded = Content.of(entry.number(), accepted.bytes());
            return new Transition(new FoldState(entry.number(), Optional.of(folded)), List.of());
        }
        List<String> findings = ((EntryReducer.Refused) result).findings();
        boolean skipped = entry.number() != position + 1;
        return new Transition(skipped ? this : new FoldState(entry.number(), content), findings);
    }
}
