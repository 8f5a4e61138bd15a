/** The workers that requests can be sent to, what is in flight at each, and what peers say of them. */
package org.dotterelcourse.gateway.workers;
