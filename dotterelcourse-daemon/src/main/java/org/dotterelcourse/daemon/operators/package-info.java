/** The HTTP side towards operators. */
package org.dotterelcourse.daemon.operators;
