/** Quarantine of requests that crash workers: recognition of their retries, and replication among the processes. */
package org.dotterelcourse.policy.quarantine;
