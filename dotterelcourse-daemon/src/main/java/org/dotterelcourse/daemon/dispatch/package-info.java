/** Dispatch of requests to workers: grants, answers, retries and outcomes. */
package org.dotterelcourse.daemon.dispatch;
