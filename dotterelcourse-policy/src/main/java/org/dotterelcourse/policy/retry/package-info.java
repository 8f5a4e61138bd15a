/** Retry policy: decides whether a failed request is restarted, resumed or given up, and limits retries by a budget. */
package org.dotterelcourse.policy.retry;
