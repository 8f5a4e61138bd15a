/** Decisions under load. Nothing here reads a clock, opens a connection or starts a thread. */
package org.dotterelcourse.policy;
