/** Counts and times of requests, for operators. */
package org.dotterelcourse.daemon.metrics;
