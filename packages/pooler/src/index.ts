/**
 * Connection pools with session consistency for replicated databases. All I/O
 * goes through ports.
 */

export {
  getMissingRevision,
  joinRevision,
  readEra,
  readStoreRevision,
} from './decisions/store_era.js';
export * from './model/directory.js';
export * from './model/message.js';
export * from './model/ownership.js';
export * from './model/result.js';
export * from './model/statement.js';
export type {AllowanceTolerance} from './decisions/allowance_homes.js';
export * from './decisions/client_budget.js';
export {createRunBudget} from './decisions/run_budget.js';
export type {CallerFault, CallerReply} from './entry/caller_reply.js';
export type {Entry, OpenResult} from './entry/entry.js';
export {createHost} from './host.js';
export type {Host, HostConfig} from './host.js';
export type {ReadStatus} from './owner/status.js';
export * from './ports.js';
export {stopGracefully} from './stop.js';
