/** Decisions about requests that arrive while a process starts. */
package org.dotterelcourse.policy.start;
