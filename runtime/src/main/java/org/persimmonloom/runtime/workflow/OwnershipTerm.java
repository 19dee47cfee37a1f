package org.persimmonloom.runtime.workflow;

/**
 * A term of ownership that begins.
 *
 * @param fence fence of the new owner
 * @param isHandedOver whether the previous owner has certainly sent its last order
 * @param previousFence fence of the previous owner; 0 if there was none
 */
record OwnershipTerm(long fence, boolean isHandedOver, long previousFence) {}
