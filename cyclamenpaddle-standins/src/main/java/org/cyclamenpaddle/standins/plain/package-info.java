/** Plain booking service that counts the runs of each key. */
package org.cyclamenpaddle.standins.plain;
