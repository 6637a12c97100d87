/** Recovery of engine memory from orphaned attempts. */
package org.cyclamenpaddle.fleet.recovery;
