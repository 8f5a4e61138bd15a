/** The HTTP side towards clients. */
package org.dotterelcourse.gateway.edge;
