/** When a worker is taken for cold, that is, slow because it has just started. */
package org.dotterelcourse.policy.cold;
