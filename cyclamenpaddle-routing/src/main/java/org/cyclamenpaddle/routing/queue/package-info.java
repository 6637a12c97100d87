/** Waiting requests: bounded, fair between teams, hopeless ones refused first. */
package org.cyclamenpaddle.routing.queue;
