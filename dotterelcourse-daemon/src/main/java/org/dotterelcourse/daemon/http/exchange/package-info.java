/** HTTP/1.1 client connections that deliver a response only if it is the response to the request in flight. */
package org.dotterelcourse.daemon.http.exchange;
