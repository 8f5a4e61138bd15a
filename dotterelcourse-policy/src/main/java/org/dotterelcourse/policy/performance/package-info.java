/** Estimates of how fast each worker is, from measured durations. */
package org.dotterelcourse.policy.performance;
