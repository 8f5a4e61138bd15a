/** HTTP interface for operators. */
package org.dotterelcourse.daemon.operators;
