/** Ports: the functions that the library needs from its environment. */

import type {
  EndpointId,
  FieldValue,
  GroupId,
  HostId,
  LogPosition,
} from '@lacewingroad/core';
import type {Instant, Runtime, Unregister} from '@lacewingroad/runtime';
import type {
  EndpointEntry,
  EndpointList,
  RouteTable,
  WorkspaceId,
} from './model/directory.js';
import type {PoolMessage} from './model/message.js';
import type {
  Ownership,
  StoredOwnership,
  WriteResult,
} from './model/ownership.js';
import type {
  EndpointCommand,
  EndpointFault,
  EndpointReply,
} from './model/statement.js';
import type {CallerReply} from './entry/caller_reply.js';

/** Writes one event to the log. */
export type LogEvent = (
  level: 'debug' | 'info' | 'warn' | 'error',
  event: string,
  fields: Readonly<Record<string, FieldValue>>,
) => void;

/** Callbacks of a connection to an endpoint. */
export interface EndpointConnHandlers {
  readonly onReady: (position: LogPosition | null) => void;
  /** The endpoint refused the connection; `onClosed` does not follow. */
  readonly onRefused: (fault: EndpointFault) => void;
  /** The connection could not be opened or was lost; called once. */
  readonly onClosed: (detail: string) => void;
}

/** A connection to an endpoint; replies arrive in the order of commands. */
export interface EndpointConn {
  /**
   * Sends a command. `request` is the caller's id of the statement, or null for
   * the pool's own commands. The endpoint refuses a read or a transaction while
   * its log does not contain `after`.
   */
  readonly send: (
    command: EndpointCommand,
    request: string | null,
    after: LogPosition | null,
    onReply: (reply: EndpointReply) => void,
  ) => void;
  /** Closes at once; no handler is called afterwards. */
  readonly close: () => void;
}

/**
 * Opens connections to endpoints. A connection speaks for one workspace, or for
 * the pool itself if that is null.
 */
export type OpenEndpointConn = (
  endpoint: EndpointEntry,
  workspace: WorkspaceId | null,
  handlers: EndpointConnHandlers,
) => EndpointConn;

/** The result of a request to promote an endpoint. */
export type PromoteResult =
  | {readonly type: 'accepted'}
  /** The endpoint is not running, or another generation was seen. */
  | {readonly type: 'rejected'; readonly detail: string}
  /** The request had no effect. */
  | {readonly type: 'not_sent'; readonly detail: string}
  /** The request may have been accepted. */
  | {readonly type: 'unknown'; readonly detail: string};

/** A request to make an endpoint the primary of its group. */
export interface PromoteCall {
  readonly group: GroupId;
  readonly endpoint: EndpointId;
  readonly generation: number;
  /**
   * Asked right before the request is sent, after any wait: this host may have
   * been suspended, and lost the group, since it made the call.
   */
  readonly maySend: () => boolean;
  /** Withdraws the request, as far as it has not been delivered. */
  readonly signal: AbortSignal;
}

/** Asks the platform to make an endpoint the primary of its group. */
export type Promote = (call: PromoteCall) => Promise<PromoteResult>;

/** Writes and reads ownership records in the store. */
export interface OwnershipStore {
  /** Replaces the record at `baseRevision`, or creates it if that is null. */
  readonly write: (
    ownership: Ownership,
    baseRevision: number | null,
  ) => Promise<WriteResult>;
  /** Reads a record; undefined if the store does not answer. */
  readonly read: (
    group: GroupId,
  ) => Promise<StoredOwnership | null | undefined>;
}

/**
 * Watches the list of endpoints: calls `onList` now and after each change,
 * until unregistered.
 */
export type WatchEndpoints = (
  onList: (list: EndpointList) => void,
) => Unregister;

/**
 * Watches the routing table until unregistered. Calls `onRead` after each
 * answer of the store with the instant at which the answer was requested; the
 * table is null if there is none or it cannot be read. If `isFrequent`, an
 * answer comes at least once a second while the store is reachable.
 */
export type WatchTable = (
  isFrequent: boolean,
  onRead: (table: RouteTable | null, readAt: Instant) => void,
) => Unregister;

/** All ports of a host. */
export interface HostPorts {
  readonly runtime: Runtime;
  readonly record: LogEvent;
  readonly reply: (caller: number, reply: CallerReply) => void;
  readonly closeCaller: (caller: number) => void;
  /** Calls back once the statements that have already arrived were received. */
  readonly afterInput: (then: () => void) => void;
  readonly openConn: OpenEndpointConn;
  readonly send: (host: HostId, msg: PoolMessage) => void;
  readonly promote: Promote;
  readonly store: OwnershipStore;
  readonly watchEndpoints: WatchEndpoints;
  readonly watchTable: WatchTable;
}
