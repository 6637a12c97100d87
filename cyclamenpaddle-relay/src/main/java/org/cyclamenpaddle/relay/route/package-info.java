/** Routes, services and limits as configured by the operators. */
package org.cyclamenpaddle.relay.route;
