/** Load tool: open-loop arrivals, streamed answers, checks and faults during a run. */
package org.cyclamenpaddle.standins.load;
