/** Reservations of links with a limited rate. */
package org.cyclamenpaddle.routing.link;
