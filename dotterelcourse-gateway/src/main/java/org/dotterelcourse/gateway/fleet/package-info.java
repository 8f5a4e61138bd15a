/** What the processes of the fleet tell each other: what they have in flight, and published items. */
package org.dotterelcourse.gateway.fleet;
