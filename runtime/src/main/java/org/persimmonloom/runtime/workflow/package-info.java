/**
 * Execution of workflows on the platform: the replica of the workflow table, durable appends,
 * ownership of the fleet, and the owner's loop. Interfaces of this package abstract the platform.
 */
package org.persimmonloom.runtime.workflow;
