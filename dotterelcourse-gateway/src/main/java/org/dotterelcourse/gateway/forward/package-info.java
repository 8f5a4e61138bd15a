/** Forwards admitted requests to workers: selection, retries, stream resumption and validation of the responses. */
package org.dotterelcourse.gateway.forward;
