/** How much work a request will be, when nobody knows in advance how long its answer will get. */
package org.dotterelcourse.policy.estimate;
