package org.dotterelcourse.daemon.kernel;

/**
 * One reason why the daemon did not start.
 *
 * @param service the service that it is about
 * @param problem what is wrong
 */
public record StartupFailure(String service, String problem) {}
