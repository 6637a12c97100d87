/** Decides which new connections a host that is overloaded closes unread. */
package org.cyclamenpaddle.routing.overload;
