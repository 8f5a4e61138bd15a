/** How log records are written: one line of JSON each. */
package org.dotterelcourse.daemon.log;
