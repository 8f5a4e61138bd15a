/** Orders to engines to load and unload model versions. */
package org.dotterelcourse.daemon.orders;
