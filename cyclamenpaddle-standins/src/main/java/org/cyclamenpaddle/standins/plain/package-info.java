/** Stand-in for a plain booking service that counts the executions of each key. */
package org.cyclamenpaddle.standins.plain;
