/** How much memory an engine's generations will need, and whether there is room for one more. */
package org.cyclamenpaddle.routing.memory;
