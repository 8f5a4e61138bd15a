/**
 * Group membership and failure detection by SWIM (Das, Gupta, Motivala, 2002) with incarnation numbers, suspicion,
 * indirect probes and updates piggybacked on messages, extended by a state for members that are shutting down.
 */
package org.dotterelcourse.coordination.membership;
