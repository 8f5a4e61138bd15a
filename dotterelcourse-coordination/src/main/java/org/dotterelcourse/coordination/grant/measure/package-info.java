/** Measures CPU time, memory and messages of grants and tickets, within one process and without sockets. */
package org.dotterelcourse.coordination.grant.measure;
