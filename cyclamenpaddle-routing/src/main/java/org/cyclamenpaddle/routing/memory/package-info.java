/** Forecast of the memory that an engine's generations need, and whether another one fits. */
package org.cyclamenpaddle.routing.memory;
