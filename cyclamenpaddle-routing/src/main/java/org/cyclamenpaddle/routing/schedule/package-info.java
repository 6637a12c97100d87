/** Capacity over time: when a resource of fixed size is free for long enough. */
package org.cyclamenpaddle.routing.schedule;
