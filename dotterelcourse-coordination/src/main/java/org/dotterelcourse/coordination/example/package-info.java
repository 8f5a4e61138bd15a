/** A runnable example of embedding the coordination parts; docs/EMBEDDING.md walks through it. */
package org.dotterelcourse.coordination.example;
