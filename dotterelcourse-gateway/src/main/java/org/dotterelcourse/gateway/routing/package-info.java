/** What is published of routes, upstreams and customers, as one immutable table with a number. */
package org.dotterelcourse.gateway.routing;
