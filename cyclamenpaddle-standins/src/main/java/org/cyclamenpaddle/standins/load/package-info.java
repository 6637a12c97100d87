/** Open-loop load generator that verifies streamed completions and injects engine crashes. */
package org.cyclamenpaddle.standins.load;
