/** Client of the object API: conditional writes, watches, and changes settled by read back. */
package org.cyclamenpaddle.store.objects;
