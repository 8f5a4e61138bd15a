/** Slots of brittle workers, granted to the processes of the fleet by one owner for each worker. */
package org.dotterelcourse.gateway.slots;
