package org.dotterelcourse.daemon.edge;

import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.Customer;

/**
 * Who calls, under which configuration.
 *
 * @param customer the customer
 * @param configuration what was in force when the request came; used for the whole request
 */
record Caller(Customer customer, Configuration configuration) {}
