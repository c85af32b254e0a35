/** Clock, timers and random numbers behind one interface. */

export {waitUntil} from './runtime.js';
export type {Instant, Runtime, Unregister} from './runtime.js';
export {callAfterInput, createSystemRuntime} from './system_runtime.js';
export {createVirtualRuntime} from './virtual_runtime.js';
export type {VirtualRuntime} from './virtual_runtime.js';
