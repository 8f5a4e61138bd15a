/** How many requests a worker gets while it is cold, that is, slow because it has just started. */
package org.dotterelcourse.policy.cold;
