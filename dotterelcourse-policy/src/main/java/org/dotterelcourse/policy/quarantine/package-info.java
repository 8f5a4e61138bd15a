/** Requests under which workers crash: how they are recognised when they come again, and when they are refused. */
package org.dotterelcourse.policy.quarantine;
