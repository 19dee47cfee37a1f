/**
 * Drivers that measure the decision functions of the core, without sockets and in simulated time.
 */
package org.persimmonloom.tool.measure;
