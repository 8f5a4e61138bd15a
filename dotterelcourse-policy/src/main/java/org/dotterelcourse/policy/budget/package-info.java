/** Customers' budgets of requests and tokens. */
package org.dotterelcourse.policy.budget;
