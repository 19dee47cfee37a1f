/**
 * Scheduling decisions of the fleet owner: task placement, lease expiry, maintenance and pool moves
 * of hosts, and the progress records of tasks. Does no I/O; callers pass the current time.
 */
package org.persimmonloom.core.scheduling;
