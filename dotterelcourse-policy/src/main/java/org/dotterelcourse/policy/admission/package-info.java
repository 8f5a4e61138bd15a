/** Admission control: estimates queueing delays and rejects requests early that would miss their target. */
package org.dotterelcourse.policy.admission;
