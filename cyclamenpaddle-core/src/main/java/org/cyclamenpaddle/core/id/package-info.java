/** Identifiers, each of its own type so that they cannot be confused with one another. */
package org.cyclamenpaddle.core.id;
