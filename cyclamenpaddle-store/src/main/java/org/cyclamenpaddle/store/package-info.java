/** Client of the object API and the host list. */
package org.cyclamenpaddle.store;
