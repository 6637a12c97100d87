/** Identifiers, each a type of its own, so that one cannot stand in for another. */
package org.cyclamenpaddle.core.id;
