/** The decision library of an entry host: no I/O, no clock, no randomness. */

export * from './model/ids.js';
export * from './model/position.js';
export * from './model/group.js';
export * from './model/host.js';
export * from './model/table.js';
export * from './model/outcome.js';
export * from './model/statement.js';
export * from './model/message.js';
export * from './engine/action.js';
export * from './engine/adapter.js';
export * from './engine/blackboard.js';
export * from './engine/engine.js';
export * from './engine/event.js';
export * from './engine/invariant.js';
export * from './table_edit/check_rows.js';
export * from './table_edit/columns.js';
export * from './table_edit/decide_conflict.js';
export * from './table_edit/diff_tables.js';
export * from './table_edit/next_table.js';
export * from './table_edit/table_schema.js';
export {createEntryEngine} from './entry_engine.js';
export type {EntryConfig} from './entry_engine.js';
export {isReachable} from './control/membership.js';
export {chooseByRendezvous, orderByRendezvous} from './control/rendezvous.js';
export type {RoutingName} from './entry/routing_policy.js';
export type {QueuePolicyName} from './owner/queue_policy.js';
export {readEvidenceExpiry} from './control/facts.js';
