package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.configuration.Worker;
import reactor.core.publisher.Mono;

/**
 * The leave to send one request to one worker, once.
 *
 * @param cell the cell it is from
 * @param number its number in the cell
 * @param askId the request's id
 * @param worker where to send it
 * @param preempted completes when the request is to be stopped and asked for again
 */
public record Grant(String cell, long number, String askId, Worker worker, Mono<Void> preempted) {}
