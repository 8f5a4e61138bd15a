/** Request metrics for operators. */
package org.dotterelcourse.daemon.metrics;
