/** Parsing, validation and canonical rendering of configuration documents, patches and settings files. */
package org.dotterelcourse.configuration;
