package org.persimmonloom.tool.measure;

/**
 * What one workload cost at one size.
 *
 * @param records records that were folded
 * @param logBytes bytes of those records in the log
 * @param foldMicros time to decode and fold them
 * @param snapshotBytes bytes of the encoded snapshot afterwards
 * @param snapshotMicros time to encode it
 * @param restoreMicros time to decode and restore it
 * @param heapBytes memory that the folded state keeps
 */
record SlopeSample(
    int records,
    long logBytes,
    long foldMicros,
    long snapshotBytes,
    long snapshotMicros,
    long restoreMicros,
    long heapBytes) {}
