/** Rate limits: customers' budgets of requests and tokens. */
package org.dotterelcourse.daemon.limits;
