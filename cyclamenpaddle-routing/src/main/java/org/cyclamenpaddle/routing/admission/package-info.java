/** Admission of requests by deadline, and correction of the predictions it rests on. */
package org.cyclamenpaddle.routing.admission;
