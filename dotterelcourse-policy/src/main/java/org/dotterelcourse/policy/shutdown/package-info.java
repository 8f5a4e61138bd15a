/** Decisions about requests that arrive while a process is being stopped. */
package org.dotterelcourse.policy.shutdown;
