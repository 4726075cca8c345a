/**
 * Resources with the default limits, for components that are tested by themselves. Development only.
 */
import {Registry} from 'prom-client';
import {SystemClock} from '../../src/base/clock.js';
import {ProcessResources} from '../../src/resources/process-resources.js';

/** @returns Resources that nothing else uses. */
export const ampleResources = (): ProcessResources => ProcessResources.create(SystemClock.create(), {}, new Registry());
