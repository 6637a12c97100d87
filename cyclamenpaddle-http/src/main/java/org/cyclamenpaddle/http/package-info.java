/** Shared configuration of the HTTP clients. */
package org.cyclamenpaddle.http;
