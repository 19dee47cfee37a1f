/**
 * Decides how many hosts each pool holds, how many are kept in reserve and how fast a maintenance
 * wave may proceed. Queues and borrowed idle slots absorb bursts, because a move takes longer than
 * a burst; hosts move only according to the trend of demand.
 */
package org.persimmonloom.core.capacity;
