/** Routes, services and limits as the operators configure them. */
package org.cyclamenpaddle.relay.route;
