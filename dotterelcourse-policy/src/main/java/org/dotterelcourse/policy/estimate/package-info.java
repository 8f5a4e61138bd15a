/** Estimates the cost of requests, whose answer lengths are not known in advance. */
package org.dotterelcourse.policy.estimate;
