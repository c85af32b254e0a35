/** An in-memory simulation of a site under virtual time, and its fuzz test. */

export * from './caller.js';
export * from './conns.js';
export * from './endpoint.js';
export * from './host.js';
export * from './ledger.js';
export * from './network.js';
export * from './platform.js';
export * from './process.js';
export * from './site.js';
export {formatInsert, formatSelect, readRows} from './statements.js';
export {runCommands, runFuzz} from './fuzz/fuzz.js';
export type {FuzzConfig, FuzzFailure, FuzzResult} from './fuzz/fuzz.js';
