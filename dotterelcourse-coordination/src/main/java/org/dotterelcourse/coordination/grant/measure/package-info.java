/** Prints what grants and tickets cost: processor time, memory, messages. Opens no socket. */
package org.dotterelcourse.coordination.grant.measure;
