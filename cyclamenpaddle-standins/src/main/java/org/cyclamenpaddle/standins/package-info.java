/** Stand-ins for engines, plain services and the platform, and a load generator. */
package org.cyclamenpaddle.standins;
