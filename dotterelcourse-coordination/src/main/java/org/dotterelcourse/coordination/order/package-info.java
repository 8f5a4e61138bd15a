/**
 * Orders to engines: which model version each worker has loaded, and in which role it runs.
 * {@link org.dotterelcourse.coordination.order.OrderPlanner} says what comes next as a pure function of the
 * configuration's number and the reported state; {@link org.dotterelcourse.coordination.order.OrderIssuer} says when it
 * may be sent.
 */
package org.dotterelcourse.coordination.order;
