/**
 * Assigns owners by rendezvous hashing (Thaler and Ravishankar, 1998). The assignments are pure functions of published
 * data and the membership view, so processes with the same view agree without exchanging messages.
 */
package org.dotterelcourse.coordination.ownership;
