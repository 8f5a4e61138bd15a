/** Audit trail of state changes with their cause and the states before and after. */
package org.dotterelcourse.daemon.audit;
