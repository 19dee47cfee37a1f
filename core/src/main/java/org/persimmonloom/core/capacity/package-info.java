/**
 * Decides how many hosts each pool holds, how many are kept in reserve and how fast a maintenance
 * wave may go. Bursts are left to queues and borrowed idle slots, because a move takes longer than
 * a burst; only the trend of demand moves hosts.
 */
package org.persimmonloom.core.capacity;
