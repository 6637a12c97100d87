/** Refusals as HTTP responses of type {@code application/problem+json}. */
package org.cyclamenpaddle.router.problem;
