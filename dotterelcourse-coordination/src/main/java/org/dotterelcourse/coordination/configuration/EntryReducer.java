package org.dotterelcourse.coordination.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Folds an entry into the content in force. Implementations must be pure functions: the same content and entry must
 * give the same result in every process and release, independent of the clock, the locale and the settings of the
 * process. Processes that never communicate agree on the content only because of this.
 */
@FunctionalInterface
public interface EntryReducer {

    /**
     * Folds one entry. A patch must be refused if the base that it names is not the number in force. The result for a
     * whole document must not depend on the content in force, since a new process starts with a whole document.
     *
     * @param inForce the content in force, or empty before the first document
     * @param entry the entry to fold
     * @return the folded document, or the reasons for the refusal
     */
    Result fold(Optional<Content> inForce, Entry entry);

    /** The result of folding an entry. */
    sealed interface Result {}

    /**
     * The entry is accepted.
     *
     * @param bytes the folded document, which replaces the one in force
     */
    record Accepted(byte[] bytes) implements Result {}

    /**
     * The entry is refused; the content in force is unchanged.
     *
     * @param findings the errors found in the entry, each with its place
     */
    record Refused(List<String> findings) implements Result {}
}
