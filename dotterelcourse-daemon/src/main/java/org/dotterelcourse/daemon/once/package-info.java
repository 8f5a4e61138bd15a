/** Calls that may run at most once: tickets and idempotency keys. */
package org.dotterelcourse.daemon.once;
