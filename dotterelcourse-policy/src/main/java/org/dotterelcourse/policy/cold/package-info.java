/** Tracks the cold start of workers: the time after a start in which a worker takes fewer requests. */
package org.dotterelcourse.policy.cold;
