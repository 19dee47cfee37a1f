package org.persimmonloom.tool.demo;

/**
 * What a demo runs.
 *
 * @param seconds length of the demand; set-up and the last answers come on top
 * @param seed seed of the demand
 */
public record DemoOptions(DemoDeployment deployment, long seconds, long seed) {}
