/** HTTP calls to the platform, each over a connection of its own, and their errors as values. */
package org.cyclamenpaddle.store.http;
