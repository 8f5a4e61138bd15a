/** The way of one request: to a worker, to another one if need be, and its answer back. */
package org.dotterelcourse.gateway.forward;
