/**
 * Runs workflows on the platform: the replica of the workflow table, durable appends, ownership of
 * the fleet, and the owner's loop. The platform is reached through the interfaces of this package.
 */
package org.persimmonloom.runtime.workflow;
