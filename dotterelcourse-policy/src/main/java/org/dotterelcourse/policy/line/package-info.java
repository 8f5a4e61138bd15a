/** Queue in front of an upstream's engines: order of dispatch, expected wait, and rejection of expired requests. */
package org.dotterelcourse.policy.line;
