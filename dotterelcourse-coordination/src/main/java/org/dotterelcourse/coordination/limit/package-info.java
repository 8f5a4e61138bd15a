/**
 * Customers' budgets of requests and tokens. A customer's home daemon
 * ({@link org.dotterelcourse.coordination.limit.LimitOwner}) leases its budget out in slices to the daemons that take the
 * customer's calls ({@link org.dotterelcourse.coordination.limit.LimitClient}).
 */
package org.dotterelcourse.coordination.limit;
