/** Counters of the gateway and the endpoint that serves them. */
package org.dotterelcourse.gateway.metrics;
