/** Command line of the stand-ins and the load tool. */
package org.cyclamenpaddle.standins.main;
