/** How often requests may be sent a second time, and which workers are left out for a while after failures. */
package org.dotterelcourse.policy.repeat;
