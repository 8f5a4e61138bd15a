/** The HTTP API for callers: authentication, admission, chat completions, plain services and tickets. */
package org.dotterelcourse.daemon.edge;
