/** Clients of the platform's services: the versioned configuration and the list of VMs. */
package org.dotterelcourse.daemon.platform;
