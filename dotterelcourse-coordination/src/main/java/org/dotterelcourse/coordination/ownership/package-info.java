/**
 * Who is responsible for what, as pure functions of published facts and the membership view: rendezvous hashing
 * (Thaler and Ravishankar, 1998), so that two processes with the same view agree without talking.
 */
package org.dotterelcourse.coordination.ownership;
