/**
 * Events: the inputs of the engine from the adapters, and internal events
 * between its controllers.
 */

import type {
  CallerId,
  ConnId,
  EndpointId,
  GroupId,
  HostId,
  Instant,
  RequestId,
  ServiceId,
  TxId,
} from '../model/ids.js';
import type {ObjectChange, PeerMessage} from '../model/message.js';
import type {Result, SqlError} from '../model/outcome.js';
import type {LogPosition} from '../model/position.js';
import type {Statement} from '../model/statement.js';

/** The first event of a process. */
export interface StartedEvent {
  readonly type: 'started';
}

/** A caller authenticated. */
export interface CallerOpenedEvent {
  readonly type: 'caller_opened';
  readonly caller: CallerId;
  readonly user: string;
  /** The database that the caller named, or null. */
  readonly service: ServiceId | null;
  /** Services that the user may use; `*` means all. */
  readonly allowedServices: readonly ServiceId[];
  /** Connection attributes of the handshake. */
  readonly attributes: Readonly<Record<string, string>>;
}

/** A caller sent a statement; `seq` counts them on its connection. */
export interface CallerStatementEvent {
  readonly type: 'caller_statement';
  readonly caller: CallerId;
  readonly seq: number;
  readonly statement: Statement;
}

/** A caller chose a database (COM_INIT_DB). */
export interface CallerUseEvent {
  readonly type: 'caller_use';
  readonly caller: CallerId;
  readonly seq: number;
  readonly service: ServiceId;
}

/** A caller's connection ended. */
export interface CallerClosedEvent {
  readonly type: 'caller_closed';
  readonly caller: CallerId;
}

/** A connection to an endpoint is ready for statements. */
export interface ConnOpenedEvent {
  readonly type: 'conn_opened';
  readonly endpoint: EndpointId;
  readonly conn: ConnId;
}

/** Why a connection to an endpoint could not be opened or was lost. */
export type ConnFault =
  'refused' | 'timeout' | 'reset' | 'too_many' | 'access_denied' | 'protocol';

/** A connection could not be opened, or an open one was lost. */
export interface ConnClosedEvent {
  readonly type: 'conn_closed';
  readonly endpoint: EndpointId;
  readonly conn: ConnId;
  readonly fault: ConnFault;
  /** Whether the connection was ever ready. */
  readonly wasOpen: boolean;
}

/** What an endpoint answered to one statement on one connection. */
export type ConnAnswer =
  | {
      readonly type: 'result';
      readonly result: Result;
      /** Position after the statement, where the endpoint reports it. */
      readonly position: LogPosition | null;
      /** Server status flag: a transaction is open. */
      readonly inTx: boolean;
    }
  | {readonly type: 'error'; readonly error: SqlError};

/** An endpoint answered; `step` repeats that of the RunConnAction. */
export interface ConnAnsweredEvent {
  readonly type: 'conn_answered';
  readonly endpoint: EndpointId;
  readonly conn: ConnId;
  readonly step: number;
  readonly answer: ConnAnswer;
}

/** The status that an endpoint reports. */
export interface EndpointStatus {
  readonly role: 'primary' | 'replica';
  readonly position: LogPosition;
  /** Age of the data by the replication stream, 0 at a primary, in ms. */
  readonly dataAgeMs: number;
  /** The endpoint that a replica follows, or null. */
  readonly follows: EndpointId | null;
}

/** A probe of an endpoint ended; `status` is null when it failed. */
export interface ProbedEvent {
  readonly type: 'probed';
  readonly endpoint: EndpointId;
  /** Instant at which the probe was sent. */
  readonly sentAt: Instant;
  readonly status: EndpointStatus | null;
  readonly fault: ConnFault | null;
}

/** An administrative command to an endpoint ended. */
export interface EndpointCommandedEvent {
  readonly type: 'endpoint_commanded';
  readonly endpoint: EndpointId;
  readonly ok: boolean;
  readonly detail: string;
}

/** A connection to another entry host is ready. */
export interface PeerUpEvent {
  readonly type: 'peer_up';
  readonly host: HostId;
  /** Counts the connections to this host, from 1. */
  readonly generation: number;
}

/** A connection to another entry host ended or could not be opened. */
export interface PeerDownEvent {
  readonly type: 'peer_down';
  readonly host: HostId;
  readonly generation: number;
}

/** Another entry host, or this one, sent a message. */
export interface PeerMessageEvent {
  readonly type: 'peer_message';
  readonly host: HostId;
  readonly generation: number;
  readonly msg: PeerMessage;
}

/** The platform answered a read of changes. */
export interface PlatformReadEvent {
  readonly type: 'platform_read';
  /** Instant at which the read began. */
  readonly sentAt: Instant;
  readonly revision: number;
  readonly changes: readonly ObjectChange[];
}

/** A read of the platform failed. */
export interface PlatformReadFailedEvent {
  readonly type: 'platform_read_failed';
  /** Instant at which the read began. */
  readonly sentAt: Instant;
  /**
   * `refused`: the platform did not serve the read; `invalid_answer`: its
   * answer violates the protocol.
   */
  readonly kind: 'refused' | 'invalid_answer';
  /** Cause of the failure, for the log. */
  readonly detail: string;
}

/** How a conditional update ended. */
export type UpdateResult =
  | {
      readonly type: 'updated';
      readonly version: number;
      readonly revision: number;
    }
  /** Another update came first; the object is at `version`. */
  | {readonly type: 'conflict'; readonly version: number}
  /** Refused before it took effect. */
  | {readonly type: 'refused'}
  /** It is unknown whether it took effect. */
  | {readonly type: 'unknown'};

/** A conditional update of the platform ended. */
export interface PlatformUpdatedEvent {
  readonly type: 'platform_updated';
  readonly key: string;
  readonly attempt: string;
  readonly baseVersion: number;
  readonly result: UpdateResult;
}

/** A timer fired. */
export interface TimerEvent {
  readonly type: 'timer';
  readonly timer: TimerKey;
}

/** An operator asked this host for a planned change of primary. */
export interface OperatorFailoverEvent {
  readonly type: 'operator_failover';
  readonly ask: number;
  readonly group: GroupId;
  readonly to: EndpointId | null;
}

/** The process was asked to finish its work and stop. */
export interface DrainEvent {
  readonly type: 'drain';
  readonly deadline: Instant;
}

/** Internal: the object of a group changed in the view. */
export interface GroupChangedEvent {
  readonly type: 'group_changed';
  readonly group: GroupId;
}

/** Internal: this host became or ceased to be owner of an endpoint's pool. */
export interface OwnershipChangedEvent {
  readonly type: 'ownership_changed';
  readonly endpoint: EndpointId;
  readonly isOwner: boolean;
}

/** Internal: a probe or answer gave new information on an endpoint. */
export interface EndpointObservedEvent {
  readonly type: 'endpoint_observed';
  readonly endpoint: EndpointId;
}

/** Internal: a host was found reachable or not by direct observation. */
export interface HostObservedEvent {
  readonly type: 'host_observed';
  readonly host: HostId;
  readonly isReachable: boolean;
}

/** Internal: this host may not acknowledge any more writes in a term. */
export interface WritesStoppedEvent {
  readonly type: 'writes_stopped';
  readonly group: GroupId;
  readonly term: number;
}

/** Internal: a change of primary was abandoned; the term continues. */
export interface WritesResumedEvent {
  readonly type: 'writes_resumed';
  readonly group: GroupId;
  readonly term: number;
}

/** Internal: the view is known to be outdated. */
export interface SyncWantedEvent {
  readonly type: 'sync_wanted';
}

/** Internal: a controller needs a new probe of an endpoint. */
export interface ProbeWantedEvent {
  readonly type: 'probe_wanted';
  readonly endpoint: EndpointId;
}

/** Internal: a caller's statement was answered; its next one may start. */
export interface CallerReadyEvent {
  readonly type: 'caller_ready';
  readonly caller: CallerId;
}

/**
 * Internal: a caller's deferred statement may run, because its session's
 * positions were fetched as far as possible or its transaction is open.
 */
export interface SessionKnownEvent {
  readonly type: 'session_known';
  readonly caller: CallerId;
}

/** Timers; a timer that is no longer needed is ignored when it fires. */
export type TimerKey =
  | {readonly name: 'sync'}
  | {readonly name: 'platform_poll'}
  | {readonly name: 'host_lapsed'; readonly host: HostId}
  | {readonly name: 'ownership'}
  | {readonly name: 'probe'; readonly endpoint: EndpointId}
  | {readonly name: 'failovers'}
  | {readonly name: 'planned'; readonly group: GroupId}
  | {readonly name: 'pool'; readonly endpoint: EndpointId}
  | {
      readonly name: 'job_deadline';
      readonly endpoint: EndpointId;
      readonly request: RequestId;
    }
  | {readonly name: 'tx_idle'; readonly tx: TxId}
  | {
      readonly name: 'ack_wait';
      readonly endpoint: EndpointId;
      readonly request: RequestId;
    }
  | {readonly name: 'await_position'; readonly endpoint: EndpointId}
  | {readonly name: 'request_deadline'; readonly request: RequestId}
  | {readonly name: 'request_retry'; readonly request: RequestId}
  | {readonly name: 'session_ask'; readonly ask: number}
  | {readonly name: 'session_expiry'}
  | {readonly name: 'drain'};

/** Every event. */
export type Event =
  | StartedEvent
  | CallerOpenedEvent
  | CallerStatementEvent
  | CallerUseEvent
  | CallerClosedEvent
  | ConnOpenedEvent
  | ConnClosedEvent
  | ConnAnsweredEvent
  | ProbedEvent
  | EndpointCommandedEvent
  | PeerUpEvent
  | PeerDownEvent
  | PeerMessageEvent
  | PlatformReadEvent
  | PlatformReadFailedEvent
  | PlatformUpdatedEvent
  | TimerEvent
  | OperatorFailoverEvent
  | DrainEvent
  | GroupChangedEvent
  | OwnershipChangedEvent
  | EndpointObservedEvent
  | HostObservedEvent
  | WritesStoppedEvent
  | WritesResumedEvent
  | SyncWantedEvent
  | ProbeWantedEvent
  | CallerReadyEvent
  | SessionKnownEvent;

/** The event of one type. */
export type EventOf<T extends Event['type']> = T extends unknown
  ? Extract<Event, {type: T}>
  : never;
