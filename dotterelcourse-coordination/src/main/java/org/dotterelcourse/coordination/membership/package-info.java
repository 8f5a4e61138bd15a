/**
 * Who is in the fleet: probing in the manner of SWIM (Das, Gupta, Motivala, 2002) with incarnation numbers, suspicion,
 * indirect probes and piggy-backed dissemination, and a leaving state beside it.
 */
package org.dotterelcourse.coordination.membership;
