/**
 * Client of the object API: conditional writes, watches, and changes whose lost responses are
 * resolved by reading back.
 */
package org.cyclamenpaddle.store.objects;
