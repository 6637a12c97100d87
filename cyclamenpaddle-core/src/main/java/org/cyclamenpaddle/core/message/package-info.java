/** Typed messages between entry hosts; durations cross hosts, clock readings never do. */
package org.cyclamenpaddle.core.message;
