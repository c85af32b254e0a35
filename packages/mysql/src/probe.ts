/** Probes of endpoints, each over a kept connection apart from the pool. */

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

/** How a probe ended. */
interface ProbeResult {
  readonly status: EndpointStatus | null;
  readonly fault: ConnFault | null;
}

/** A probe that has not ended yet. */
interface PendingProbe {
  readonly end: (result: ProbeResult) => void;
}

/** A kept connection and the probes on it. */
interface ProbeConn {
  readonly target: string;
  readonly conn: EndpointConn;
  isOpen: boolean;
  readonly pending: Set<PendingProbe>;
  readonly whenOpen: (() => void)[];
  cancelIdle: Unregister;
}

/** Probes endpoints. */
export interface Prober {
  /** Starts a probe; exactly one `probed` event follows by its deadline. */
  readonly probe: (action: ProbeAction) => void;
  /** Closes all connections; probes that run end without an event. */
  readonly close: () => void;
}

/** Creates a prober; `emit` gets the events. */
export function createProber(
  cfg: EndpointConnConfig,
  emit: (event: ProbedEvent) => void,
): Prober {
  const {runtime} = cfg;
  const kept = new Map<EndpointId, ProbeConn>();

  const drop = (
    endpoint: EndpointId,
    entry: ProbeConn,
    fault: ConnFault,
  ): void => {
    if (kept.get(endpoint) === entry) {
      kept.delete(endpoint);
    }
    entry.cancelIdle();
    entry.conn.destroy();
    [...entry.pending].forEach(probe => probe.end({status: null, fault}));
  };

  const openKept = (action: ProbeAction): ProbeConn => {
    const {endpoint} = action;
    const conn = openEndpointConn(cfg, action, {
      onOpen: () => {
        entry.isOpen = true;
        entry.whenOpen.splice(0).forEach(start => start());
      },
      onLost: fault => drop(endpoint, entry, fault),
    });
    const entry: ProbeConn = {
      target: readTarget(action),
      conn,
      isOpen: false,
      pending: new Set(),
      whenOpen: [],
      cancelIdle: () => undefined,
    };
    kept.set(endpoint, entry);
    return entry;
  };

  const findKept = (action: ProbeAction): ProbeConn => {
    const entry = kept.get(action.endpoint);
    if (entry === undefined) {
      return openKept(action);
    }
    if (entry.target === readTarget(action)) {
      return entry;
    }
    drop(action.endpoint, entry, 'reset');
    return openKept(action);
  };

  const keepUntilIdle = (action: ProbeAction, entry: ProbeConn): void => {
    entry.cancelIdle();
    const idleAt = Math.max(runtime.now(), action.deadline) + PROBE_IDLE_MS;
    entry.cancelIdle = runtime.at(idleAt, () =>
      drop(action.endpoint, entry, 'reset'),
    );
  };

  const probe = (action: ProbeAction): void => {
    const sentAt: Instant = runtime.now();
    const entry = findKept(action);
    keepUntilIdle(action, entry);
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
      drop(action.endpoint, entry, 'timeout'),
    );
    const start = (): void =>
      entry.conn.run({sql: STATUS_QUERY, params: null}, answer =>
        end(readResult(answer)),
      );
    if (entry.isOpen) {
      start();
      return;
    }
    entry.whenOpen.push(start);
  };

  return {
    probe,
    close: () => {
      for (const entry of kept.values()) {
        entry.cancelIdle();
        entry.conn.destroy();
      }
      kept.clear();
    },
  };
}

function readTarget(action: ProbeAction): string {
  return `${action.address}:${action.port}`;
}

/** An answer that is no status counts as a fault of the protocol. */
function readResult(answer: ConnAnswer): ProbeResult {
  const status = readStatus(answer);
  return {status, fault: status === null ? 'protocol' : null};
}

function readStatus(answer: ConnAnswer): EndpointStatus | null {
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
