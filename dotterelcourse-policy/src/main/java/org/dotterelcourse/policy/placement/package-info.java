/** Placement of requests on the workers of a cell, based on grants, load reports and observed worker health. */
package org.dotterelcourse.policy.placement;
