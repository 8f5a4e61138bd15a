/**
 * Rate limits of workers that accept a limited number of requests per second from all processes of a fleet together.
 */
package org.dotterelcourse.policy.rate;
