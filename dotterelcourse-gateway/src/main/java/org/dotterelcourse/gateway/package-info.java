/** A router of plain HTTP requests by host and path, built of the daemon's kernel and peers. */
package org.dotterelcourse.gateway;
