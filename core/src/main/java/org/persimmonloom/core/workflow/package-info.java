/**
 * Workflows, which consist of steps with many tasks each; their durable records; and the table that
 * every entry host folds from these records.
 */
package org.persimmonloom.core.workflow;
