package org.persimmonloom.core.capacity;

/** A move that started within the last hour, in progress or ended. */
public record RecentMove(String host, String fromPool, String toPool, long startedMillis) {}
