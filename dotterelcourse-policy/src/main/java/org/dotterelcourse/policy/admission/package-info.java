/** Who is refused at the door, and when to come back. */
package org.dotterelcourse.policy.admission;
