/**
 * The blackboard: an immutable snapshot of a host's state. Each slice is
 * changed by the controllers of one folder and read by all.
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

/** State of the host itself. */
export interface SelfSlice {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Distinguishes this start of the process from all others. */
  readonly incarnation: string;
  readonly startedAt: Instant;
  /** Deadline of the drain; null until the process is asked to stop. */
  readonly drainDeadline: Instant | null;
  /** Instant of a drain until which other hosts may still send work. */
  readonly drainNoticeUntil: Instant | null;
  readonly isDrained: boolean;
}

/** The complete state of a host. */
export interface Blackboard {
  readonly self: SelfSlice;
  /** The platform's objects as last received. Changed by control. */
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
