/** Service registry that starts and stops the services of a process in dependency order. */
package org.dotterelcourse.daemon.kernel;
