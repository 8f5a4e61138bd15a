/** The HTTP server for clients: admission, replies, request log and graceful shutdown. */
package org.dotterelcourse.gateway.edge;
