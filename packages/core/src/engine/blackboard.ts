/**
 * The blackboard: one read-only snapshot of everything that a host knows.
 * Each slice is changed by the controllers of one folder and read by all.
 */

import type {
  CallersSlice,
  RequestsSlice,
  SessionsSlice,
} from '../entry/state.js';
import type {PoolsSlice} from '../owner/state.js';
import type {
  EndpointsSlice,
  FailoversSlice,
  MembershipSlice,
  RelaySlice,
  ViewSlice,
} from '../control/state.js';
import type {DataCentreId, HostId, Instant} from '../model/ids.js';

/** What a host knows of itself. */
export interface SelfSlice {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Distinguishes this start of the process from all others. */
  readonly incarnation: string;
  readonly startedAt: Instant;
  /** Set once the process was asked to stop. */
  readonly drainDeadline: Instant | null;
  /** Other hosts may send work until this instant of a shutdown. */
  readonly drainNoticeUntil: Instant | null;
  readonly isDrained: boolean;
}

/** Everything that a host knows. */
export interface Blackboard {
  readonly self: SelfSlice;
  /** The platform's objects as last learned. Changed by control. */
  readonly view: ViewSlice;
  /** Changed by control. */
  readonly relay: RelaySlice;
  /** Which hosts are reachable. Changed by control. */
  readonly membership: MembershipSlice;
  /** Endpoints as observed by probes and reports. Changed by control. */
  readonly endpoints: EndpointsSlice;
  /** Changes of primary and promises. Changed by control. */
  readonly failovers: FailoversSlice;
  /** Pools of the endpoints that this host owns. Changed by owner. */
  readonly pools: PoolsSlice;
  /** Changed by entry. */
  readonly callers: CallersSlice;
  /** Changed by entry. */
  readonly requests: RequestsSlice;
  /** Positions of sessions that this host holds. Changed by entry. */
  readonly sessions: SessionsSlice;
}
