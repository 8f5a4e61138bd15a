/** Which worker gets a request that is sent on as it came, by what this process and its peers know of the workers. */
package org.dotterelcourse.policy.selection;
