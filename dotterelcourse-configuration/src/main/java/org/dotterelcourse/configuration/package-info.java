/** The configuration document, its patches, and the daemon's settings: read, checked whole, and held as records. */
package org.dotterelcourse.configuration;
