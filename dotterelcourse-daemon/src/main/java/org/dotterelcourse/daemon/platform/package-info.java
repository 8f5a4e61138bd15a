/** What the platform publishes: numbered configuration and the list of VMs. */
package org.dotterelcourse.daemon.platform;
