/** The request queue of a cell: priority tiers, minimum shares of classes and fairness between customers. */
package org.dotterelcourse.policy.queue;
