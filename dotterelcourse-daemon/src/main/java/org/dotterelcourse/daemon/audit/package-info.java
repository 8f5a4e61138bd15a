/** The audit trail: what changed, why, from what to what. */
package org.dotterelcourse.daemon.audit;
