/** An HTTP reverse proxy that routes requests by host and path: its event loop and the state that its parts share. */
package org.dotterelcourse.gateway;
