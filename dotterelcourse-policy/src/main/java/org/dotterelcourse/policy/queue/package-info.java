/** The waiting requests of a cell and the order in which they are served and shed. */
package org.dotterelcourse.policy.queue;
