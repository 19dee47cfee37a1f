/**
 * Workflows: jobs of several steps with many tasks each, their durable records, and the table that
 * every entry host folds from them.
 */
package org.persimmonloom.core.workflow;
