/** Time in milliseconds: the clock interface from which every decision reads the time. */
package org.cyclamenpaddle.core.time;
