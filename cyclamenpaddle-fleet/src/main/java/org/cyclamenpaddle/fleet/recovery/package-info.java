/** Recovery of engine memory: which attempts on an engine no live host stands for. */
package org.cyclamenpaddle.fleet.recovery;
