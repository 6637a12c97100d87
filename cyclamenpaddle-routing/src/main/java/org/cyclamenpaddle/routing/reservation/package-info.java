/** Reservation of engine capacity for a request while all engines are nearly full. */
package org.cyclamenpaddle.routing.reservation;
