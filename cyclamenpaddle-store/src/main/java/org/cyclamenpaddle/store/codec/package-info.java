/** Encoding and decoding of configuration objects: documents of the object API and typed specs. */
package org.cyclamenpaddle.store.codec;
