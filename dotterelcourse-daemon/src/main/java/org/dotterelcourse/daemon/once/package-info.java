/** At-most-once execution of calls by tickets and idempotency keys. */
package org.dotterelcourse.daemon.once;
