/** HTTP connections to backend servers, single-use for calls and keep-alive for reads. */
package org.cyclamenpaddle.engine.http;
