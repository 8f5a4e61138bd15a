/** Helpers shared by the HTTP endpoints. */
package org.dotterelcourse.daemon.http;
