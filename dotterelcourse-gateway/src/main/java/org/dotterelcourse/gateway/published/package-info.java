/** Items that the platform publishes, with their revisions, as read from the store or relayed by peers. */
package org.dotterelcourse.gateway.published;
