/**
 * Replicates a sequence of published, numbered configuration entries to all processes of the fleet by gossip and folds
 * them into the content in force. Bodies are opaque bytes, which the embedder interprets in its
 * {@link org.dotterelcourse.coordination.configuration.EntryReducer}.
 */
package org.dotterelcourse.coordination.configuration;
