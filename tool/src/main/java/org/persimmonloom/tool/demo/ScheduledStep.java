package org.persimmonloom.tool.demo;

/**
 * A step and when it begins.
 *
 * @param at share of the run, from 0 to 1
 */
public record ScheduledStep(double at, DemoStep step) {}
