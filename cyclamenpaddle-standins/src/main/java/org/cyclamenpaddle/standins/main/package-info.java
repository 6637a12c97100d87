/** Command line of the stand-ins and the load generator. */
package org.cyclamenpaddle.standins.main;
