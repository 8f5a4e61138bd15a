package org.dotterelcourse.gateway.forward;

import java.util.List;

import org.dotterelcourse.gateway.workers.WorkerEntry;
import reactor.core.publisher.Mono;

/** Reads which parts of prompts a worker keeps. */
public interface KeptPartReader {
    /**
     * Reads the parts that a worker keeps now.
     *
     * @param worker the worker, an engine
     * @return ids of the parts; an error if the worker does not answer in time or not as expected
     */
    Mono<List<String>> read(WorkerEntry worker);
}
