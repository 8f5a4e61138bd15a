/** What the platform publishes: items with revisions, from the store itself or relayed by peers. */
package org.dotterelcourse.gateway.published;
