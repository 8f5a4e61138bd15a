/**
 * Load-management policies: scheduling, admission, retries, placement and preemption. The classes are pure state
 * machines: none of them reads a clock, opens a connection or starts a thread.
 */
package org.dotterelcourse.policy;
