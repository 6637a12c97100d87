/** Decides what follows when a backend server sends nothing for a time. */
package org.cyclamenpaddle.routing.silence;
