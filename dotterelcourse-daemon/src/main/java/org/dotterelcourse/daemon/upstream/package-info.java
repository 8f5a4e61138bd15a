/** HTTP clients for the upstream workers: model engines and plain services. */
package org.dotterelcourse.daemon.upstream;
