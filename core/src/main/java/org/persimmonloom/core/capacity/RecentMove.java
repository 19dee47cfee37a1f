package org.persimmonloom.core.capacity;

/** A move that was started not long ago, whether or not it has ended. */
public record RecentMove(String host, String fromPool, String toPool, long startedMillis) {}
