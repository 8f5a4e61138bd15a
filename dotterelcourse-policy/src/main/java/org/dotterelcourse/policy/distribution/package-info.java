/** Distribution of clients over the processes that serve them. */
package org.dotterelcourse.policy.distribution;
