/** HTTP client of the platform with one connection per call and errors as values. */
package org.cyclamenpaddle.store.http;
