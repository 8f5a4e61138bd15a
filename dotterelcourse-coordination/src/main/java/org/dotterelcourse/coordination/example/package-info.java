/** Runnable example of embedding the coordination library, explained in docs/EMBEDDING.md. */
package org.dotterelcourse.coordination.example;
