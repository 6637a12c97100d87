/** Engine with modelled timing: prefill, export, decode, prefix cache and orders. */
package org.cyclamenpaddle.standins.engine;
