package org.dotterelcourse.daemon.edge;

import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.Customer;

/**
 * An authenticated caller.
 *
 * @param customer the customer to which the key in the request belongs
 * @param configuration the configuration in force when the caller was authenticated; used for the whole request
 */
record Caller(Customer customer, Configuration configuration) {}
