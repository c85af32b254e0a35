/** Probes endpoints over persistent connections outside the pool. */

import type {
  ActionOf,
  ConnAnswer,
  ConnFault,
  EndpointId,
  EndpointStatus,
  Instant,
  ProbedEvent,
} from '@lacewingroad/core';
import type {Unregister} from '@lacewingroad/runtime';
import {
  openEndpointConn,
  type EndpointConn,
  type EndpointConnConfig,
} from './endpoint_conn.js';
import {PROBE_IDLE_MS} from './limits.js';

const STATUS_QUERY =
  'SELECT @@ledger_role, @@ledger_term, @@ledger_index, ' +
  '@@ledger_data_age_ms, @@ledger_follows';
const STATUS_COLUMNS = 5;

type ProbeAction = ActionOf<'probe'>;

/** The result of a probe: a status or a fault. */
interface ProbeResult {
  readonly status: EndpointStatus | null;
  readonly fault: ConnFault | null;
}

/** A running probe. */
interface PendingProbe {
  readonly end: (result: ProbeResult) => void;
}

/** A persistent connection and the running probes on it. */
interface ProbeConn {
  readonly target: string;
  readonly conn: EndpointConn;
  isOpen: boolean;
  readonly pending: Set<PendingProbe>;
  readonly openCallbacks: (() => void)[];
  cancelIdle: Unregister;
}

/** Probes endpoints and keeps the connections for later probes. */
export interface Prober {
  /** Starts a probe; exactly one `probed` event follows by its deadline. */
  readonly probe: (action: ProbeAction) => void;
  /** Closes all connections; running probes end without an event. */
  readonly close: () => void;
}

/** Creates a prober; `emit` receives the events. */
export function createProber(
  cfg: EndpointConnConfig,
  emit: (event: ProbedEvent) => void,
): Prober {
  const {runtime} = cfg;
  const probeConns = new Map<EndpointId, ProbeConn>();

  const closeProbeConn = (
    endpoint: EndpointId,
    entry: ProbeConn,
    fault: ConnFault,
  ): void => {
    if (probeConns.get(endpoint) === entry) {
      probeConns.delete(endpoint);
    }
    entry.cancelIdle();
    entry.conn.destroy();
    [...entry.pending].forEach(probe => probe.end({status: null, fault}));
  };

  const openProbeConn = (action: ProbeAction): ProbeConn => {
    const {endpoint} = action;
    const conn = openEndpointConn(cfg, action, {
      onOpen: () => {
        entry.isOpen = true;
        entry.openCallbacks.splice(0).forEach(start => start());
      },
      onLost: fault => closeProbeConn(endpoint, entry, fault),
    });
    const entry: ProbeConn = {
      target: formatTarget(action),
      conn,
      isOpen: false,
      pending: new Set(),
      openCallbacks: [],
      cancelIdle: () => undefined,
    };
    probeConns.set(endpoint, entry);
    return entry;
  };

  const getOrOpenProbeConn = (action: ProbeAction): ProbeConn => {
    const entry = probeConns.get(action.endpoint);
    if (entry === undefined) {
      return openProbeConn(action);
    }
    if (entry.target === formatTarget(action)) {
      return entry;
    }
    closeProbeConn(action.endpoint, entry, 'reset');
    return openProbeConn(action);
  };

  const restartIdleTimer = (action: ProbeAction, entry: ProbeConn): void => {
    entry.cancelIdle();
    const idleAt = Math.max(runtime.now(), action.deadline) + PROBE_IDLE_MS;
    entry.cancelIdle = runtime.at(idleAt, () =>
      closeProbeConn(action.endpoint, entry, 'reset'),
    );
  };

  const probe = (action: ProbeAction): void => {
    const sentAt: Instant = runtime.now();
    const entry = getOrOpenProbeConn(action);
    restartIdleTimer(action, entry);
    const end = (result: ProbeResult): void => {
      if (!entry.pending.delete(pending)) {
        return;
      }
      cancelDeadline();
      emit({type: 'probed', endpoint: action.endpoint, sentAt, ...result});
    };
    const pending: PendingProbe = {end};
    entry.pending.add(pending);
    const cancelDeadline = runtime.at(action.deadline, () =>
      closeProbeConn(action.endpoint, entry, 'timeout'),
    );
    const start = (): void =>
      entry.conn.run({sql: STATUS_QUERY, params: null}, answer =>
        end(toProbeResult(answer)),
      );
    if (entry.isOpen) {
      start();
      return;
    }
    entry.openCallbacks.push(start);
  };

  return {
    probe,
    close: () => {
      for (const entry of probeConns.values()) {
        entry.cancelIdle();
        entry.conn.destroy();
      }
      probeConns.clear();
    },
  };
}

function formatTarget(action: ProbeAction): string {
  return `${action.address}:${action.port}`;
}

/** Treats an answer that is not a valid status as a protocol fault. */
function toProbeResult(answer: ConnAnswer): ProbeResult {
  const status = parseStatus(answer);
  return {status, fault: status === null ? 'protocol' : null};
}

function parseStatus(answer: ConnAnswer): EndpointStatus | null {
  if (answer.type === 'error' || answer.result.type !== 'rows') {
    return null;
  }
  const row = answer.result.rows[0];
  if (row?.length !== STATUS_COLUMNS) {
    return null;
  }
  const texts = row.map(cell =>
    cell === null ? null : Buffer.from(cell).toString(),
  );
  const [role, term, index, dataAgeMs] = texts;
  const numbers = [term, index, dataAgeMs].map(text => Number(text ?? NaN));
  if (role !== 'primary' && role !== 'replica') {
    return null;
  }
  if (!numbers.every(number => Number.isFinite(number) && number >= 0)) {
    return null;
  }
  return {
    role,
    position: {term: numbers[0]!, index: numbers[1]!},
    dataAgeMs: numbers[2]!,
    follows: texts[4] ?? null,
  };
}
