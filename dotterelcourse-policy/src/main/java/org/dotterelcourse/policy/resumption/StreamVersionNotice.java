package org.dotterelcourse.policy.resumption;

/**
 * States to which software version a stream belongs. Sent when the request goes to a worker, before its first event, so
 * that peers know the version before a client can ask for a resumption.
 *
 * @param stream key of the stream
 * @param version software version of the worker that has the request; empty if it is unknown
 * @param attempt number of the attempt; a later attempt replaces earlier ones, which have brought no event
 */
public record StreamVersionNotice(StreamKey stream, String version, int attempt) {}
