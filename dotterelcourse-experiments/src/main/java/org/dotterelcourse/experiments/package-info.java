/** Measures the policy under load: one cell, fake workers, virtual time. */
package org.dotterelcourse.experiments;
