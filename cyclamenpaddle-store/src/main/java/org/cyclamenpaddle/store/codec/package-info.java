/** Configuration objects between their documents in the object API and their typed specs. */
package org.cyclamenpaddle.store.codec;
