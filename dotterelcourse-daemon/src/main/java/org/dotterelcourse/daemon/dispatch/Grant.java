package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.configuration.Worker;
import reactor.core.publisher.Mono;

/**
 * The leave to send one request to one worker, once.
 *
 * @param cell the cell it is from
 * @param ask the number of the ask in this daemon
 * @param worker where to send it
 * @param preempted completes when the request is to be stopped and asked for again
 */
public record Grant(String cell, long ask, Worker worker, Mono<Void> preempted) {}
