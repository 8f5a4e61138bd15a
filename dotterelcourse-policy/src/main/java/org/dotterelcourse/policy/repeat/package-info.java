/** Retry budgets of upstreams, and outlier detection: which workers are avoided for a while after failures. */
package org.dotterelcourse.policy.repeat;
