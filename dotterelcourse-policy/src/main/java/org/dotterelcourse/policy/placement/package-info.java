/** Which worker of a cell takes a request, from grants, lagging reports and what was seen of each worker. */
package org.dotterelcourse.policy.placement;
