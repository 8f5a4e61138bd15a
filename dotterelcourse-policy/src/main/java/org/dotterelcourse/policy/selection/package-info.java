/** Selects the worker for a forwarded request, based on what this process and its peers know about the workers. */
package org.dotterelcourse.policy.selection;
