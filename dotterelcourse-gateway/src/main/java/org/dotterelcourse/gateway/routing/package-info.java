/** Routes, upstreams and customers of one published configuration, as an immutable table with a sequence number. */
package org.dotterelcourse.gateway.routing;
