/**
 * Asks, grants and leases: one owner holds the one queue of a cell of workers, and the daemons that take requests ask
 * it for a worker. {@link org.dotterelcourse.coordination.grant.CellOwner} is the owner's side,
 * {@link org.dotterelcourse.coordination.grant.CellClient} the asker's. Who is served next is decided by an
 * {@link org.dotterelcourse.coordination.grant.Arbiter} that the embedder supplies.
 */
package org.dotterelcourse.coordination.grant;
