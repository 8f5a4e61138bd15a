/** Small stand-ins for the systems that a daemon meets, a fault-injecting proxy and a load generator. */
package org.dotterelcourse.standins;
