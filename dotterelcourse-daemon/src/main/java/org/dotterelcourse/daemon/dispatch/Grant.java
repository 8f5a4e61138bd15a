package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.configuration.Worker;
import reactor.core.publisher.Mono;

/**
 * Permission to send one request to one worker, once.
 *
 * @param cell the key of the cell that issued the grant
 * @param ask the request number assigned by this daemon within the cell
 * @param worker the worker to send the request to
 * @param preempted completes when the request is preempted and must be stopped and requested again
 */
public record Grant(String cell, long ask, Worker worker, Mono<Void> preempted) {}
