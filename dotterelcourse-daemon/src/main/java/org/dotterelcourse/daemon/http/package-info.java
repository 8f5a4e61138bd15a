/** What the HTTP sides share. */
package org.dotterelcourse.daemon.http;
