/** The line in front of an upstream's engines: who waits there, who is next, and who is told to come back. */
package org.dotterelcourse.policy.line;
