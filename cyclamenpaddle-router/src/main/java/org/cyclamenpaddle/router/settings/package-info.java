/** Settings of an entry host: the catalogue of keys, the reader of TOML files and the records. */
package org.cyclamenpaddle.router.settings;
