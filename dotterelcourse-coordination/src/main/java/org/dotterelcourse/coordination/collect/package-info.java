/** Which processes of a fleet gather reports for others, so that messages don't grow with the square of the fleet. */
package org.dotterelcourse.coordination.collect;
