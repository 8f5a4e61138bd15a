/**
 * Orders to engines, which set the model versions that each worker has loaded and the role in which it runs.
 * {@link org.dotterelcourse.coordination.order.OrderPlanner} plans the next orders as a pure function of the goal and
 * the reported states; {@link org.dotterelcourse.coordination.order.OrderIssuer} decides when they may be sent.
 */
package org.dotterelcourse.coordination.order;
