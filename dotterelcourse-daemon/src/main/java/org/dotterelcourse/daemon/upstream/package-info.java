/** The HTTP side towards engines and plain services. */
package org.dotterelcourse.daemon.upstream;
