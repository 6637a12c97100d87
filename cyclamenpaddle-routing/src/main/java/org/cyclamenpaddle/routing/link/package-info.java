/** Reservations of links with limited bandwidth. */
package org.cyclamenpaddle.routing.link;
