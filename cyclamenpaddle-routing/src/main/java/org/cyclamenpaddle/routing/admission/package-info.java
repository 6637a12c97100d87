/** Admission control by deadline, and creation of the grant requests of a request. */
package org.cyclamenpaddle.routing.admission;
