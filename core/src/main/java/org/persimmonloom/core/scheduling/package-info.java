/**
 * Decisions of the fleet's owner: which task runs on which worker, when leases have lapsed, and
 * what is recorded of ended tasks. No input or output; the present time is an argument.
 */
package org.persimmonloom.core.scheduling;
