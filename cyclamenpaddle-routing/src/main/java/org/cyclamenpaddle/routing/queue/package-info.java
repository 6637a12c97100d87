/** Shares of teams in what is scarce. */
package org.cyclamenpaddle.routing.queue;
