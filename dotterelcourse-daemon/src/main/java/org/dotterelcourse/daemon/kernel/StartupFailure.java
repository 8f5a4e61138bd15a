package org.dotterelcourse.daemon.kernel;

/**
 * A reason why the process could not start.
 *
 * @param service name of the affected service
 * @param problem description of the error for operators
 */
public record StartupFailure(String service, String problem) {}
