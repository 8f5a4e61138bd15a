/** Messages between the processes of a fleet: load reports, notices about workers, and published items. */
package org.dotterelcourse.gateway.fleet;
