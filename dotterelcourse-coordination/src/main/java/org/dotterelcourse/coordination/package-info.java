/**
 * Coordination parts that can be embedded without the rest of the project. Each part is a state machine that takes
 * events with their time and returns effects; it opens no connection and reads no clock.
 */
package org.dotterelcourse.coordination;
