/** Decisions of a process that has no link to the workers: whether that is so, and which peer sends on its requests. */
package org.dotterelcourse.policy.relay;
