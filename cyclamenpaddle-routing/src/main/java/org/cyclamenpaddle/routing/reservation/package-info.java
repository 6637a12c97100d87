/** How a request looks for a place at an engine while all engines are nearly full. */
package org.cyclamenpaddle.routing.reservation;
