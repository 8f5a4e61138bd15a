/** Which running request makes way when a higher tier would miss its target. */
package org.dotterelcourse.policy.preemption;
