/** HTTP to backend servers, each call over a connection of its own. */
package org.cyclamenpaddle.engine.http;
