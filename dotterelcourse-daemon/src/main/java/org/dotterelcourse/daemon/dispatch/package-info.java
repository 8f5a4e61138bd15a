/** The way of one request: grant, worker, answer, retry, outcome. */
package org.dotterelcourse.daemon.dispatch;
