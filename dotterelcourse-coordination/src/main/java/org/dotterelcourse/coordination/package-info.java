/**
 * Coordination components that can be embedded without the rest of the project. Each component is a state machine that
 * takes events with their times and returns effects; it performs no I/O and reads no clock.
 */
package org.dotterelcourse.coordination;
