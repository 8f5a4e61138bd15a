/**
 * Grant protocol between the daemons that accept requests and the owner of a cell. A cell is a group of workers with one
 * queue, which is held by one daemon, the owner. A client sends the owner an ask for each request. It receives a grant,
 * which assigns a worker to the request for the duration of a lease, and renews the lease while the request runs. {@link org.dotterelcourse.coordination.grant.CellOwner} is the owner's side,
 * {@link org.dotterelcourse.coordination.grant.CellClient} the client's. The embedder supplies the scheduling policy as
 * an {@link org.dotterelcourse.coordination.grant.Arbiter}.
 */
package org.dotterelcourse.coordination.grant;
