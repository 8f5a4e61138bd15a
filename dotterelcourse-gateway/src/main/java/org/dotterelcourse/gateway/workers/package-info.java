/** Workers that requests can be sent to, with their load and recent failures as seen by this process and its peers. */
package org.dotterelcourse.gateway.workers;
