/**
 * Rate limits for requests and tokens per customer. The customer's owner ({@link
 * org.dotterelcourse.coordination.limit.LimitOwner}) holds the budget as token buckets and leases slices of it to the
 * daemons that receive the customer's calls ({@link org.dotterelcourse.coordination.limit.LimitClient}).
 */
package org.dotterelcourse.coordination.limit;
