/** Time in milliseconds: the one clock type that every decision reads. */
package org.cyclamenpaddle.core.time;
