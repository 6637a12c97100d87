/** Decisions about streams that go on at another backend server than the one that began them. */
package org.cyclamenpaddle.routing.stream;
