/** Relative shares of teams in scarce resources. */
package org.cyclamenpaddle.routing.queue;
