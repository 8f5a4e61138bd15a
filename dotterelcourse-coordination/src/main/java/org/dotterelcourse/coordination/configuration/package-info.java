/**
 * Relays a sequence of published, numbered documents through the fleet and folds them into what is in force. Bodies are
 * opaque bytes; what they mean is the embedder's {@link org.dotterelcourse.coordination.configuration.EntryReducer}.
 */
package org.dotterelcourse.coordination.configuration;
