/** How many requests a worker gets that takes only so many from all processes of a fleet together. */
package org.dotterelcourse.policy.rate;
