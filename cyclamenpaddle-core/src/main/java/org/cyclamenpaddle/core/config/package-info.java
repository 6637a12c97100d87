/** Configuration kinds that operators declare, and the checks made before one is accepted. */
package org.cyclamenpaddle.core.config;
