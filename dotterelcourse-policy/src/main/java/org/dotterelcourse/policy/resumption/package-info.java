/** Which software version of an upstream a stream belongs to, so that it is resumed only at workers of that version. */
package org.dotterelcourse.policy.resumption;
