package org.dotterelcourse.coordination.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Folds an entry onto what is in force. It must be a pure function: the same content and entry give the same result in
 * every process and release, whatever the clock, the locale or the process's own settings say. That is what lets
 * processes that never talk to one another agree.
 */
@FunctionalInterface
public interface EntryReducer {

    /**
     * Folds one entry. A patch must be refused when the base that it names is not the number in force. The result for a
     * whole document must not depend on what is in force, since a new process starts from one.
     *
     * @param inForce what is in force, empty before the first document
     * @param entry the next entry
     * @return the new content, or findings
     */
    Result fold(Optional<Content> inForce, Entry entry);

    /** What became of an entry. */
    sealed interface Result {}

    /**
     * The entry is accepted.
     *
     * @param bytes the folded document
     */
    record Accepted(byte[] bytes) implements Result {}

    /**
     * The entry is refused; what was in force stays.
     *
     * @param findings what is wrong, each with its place
     */
    record Refused(List<String> findings) implements Result {}
}
