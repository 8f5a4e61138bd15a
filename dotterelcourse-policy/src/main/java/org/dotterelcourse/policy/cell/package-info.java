/** The scheduler of a cell: which waiting request goes to which worker next, and which is refused. */
package org.dotterelcourse.policy.cell;
