/** Stand-ins for engines, plain services and the platform, and the load tool. */
package org.cyclamenpaddle.standins;
