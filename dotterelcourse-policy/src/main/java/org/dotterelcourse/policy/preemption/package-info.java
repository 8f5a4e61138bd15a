/** Preemption: chooses a running request to stop when a request of a higher tier would miss its target. */
package org.dotterelcourse.policy.preemption;
