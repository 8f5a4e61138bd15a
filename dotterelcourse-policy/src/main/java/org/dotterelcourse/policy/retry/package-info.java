/** What follows a failed attempt: another worker, a resumed answer, or a final outcome. */
package org.dotterelcourse.policy.retry;
