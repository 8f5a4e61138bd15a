/** Orders to engines: which models and versions they are to have loaded. */
package org.dotterelcourse.daemon.orders;
