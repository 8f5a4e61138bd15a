/** Customers' budgets of requests and tokens. */
package org.dotterelcourse.daemon.limits;
