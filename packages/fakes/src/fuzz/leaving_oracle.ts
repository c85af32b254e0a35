/** The oracle's part for endpoints that leave: they get no new work. */

import type {
  Action,
  ConnId,
  EndpointId,
  GroupObject,
  HostId,
} from '@lacewingroad/core';
import type {FakeSite} from '../site.js';

/** Stated time after which a leaving endpoint receives no new work, in ms. */
const NO_NEW_WORK_MS = 5_000;
/** Time between two looks whether hosts can read the platform, in ms. */
const LOOK_MS = 200;

const CALLER_WORK = /\bpayments\b/;
const TX_BEGIN = /^(BEGIN|START TRANSACTION)\b/i;
const TX_END = /^(COMMIT|ROLLBACK)\b/i;

/** Follows marks of leaving endpoints, and what is sent to them. */
export interface LeavingOracle {
  /** Looks which hosts can read the platform; call after any change of that. */
  readonly look: () => void;
  /** Notes an action of a host. */
  readonly noteAction: (host: HostId, action: Action) => void;
}

/** What the oracle reads. */
export interface LeavingOracleConfig {
  readonly site: FakeSite;
  readonly fail: (text: string) => void;
}

/** Creates the oracle and starts its looks. */
export function createLeavingOracle(cfg: LeavingOracleConfig): LeavingOracle {
  const {site, fail} = cfg;
  const {runtime, platform, network} = site;
  const markedAt = new Map<EndpointId, number>();
  /** Last instant at which a host could not read the platform. */
  const blockedAt = new Map<HostId, number>();
  const incarnations = new Map<HostId, string>();
  /** Connections, by host and name, on which a transaction is open. */
  const inTx = new Set<string>();

  const canRead = (id: HostId): boolean => {
    const {process, node, incarnation} = site.hosts.get(id)!;
    const isSameStart = incarnations.get(id) === incarnation;
    incarnations.set(id, incarnation);
    return (
      isSameStart &&
      !process.isDead() &&
      !process.isPaused() &&
      platform.faults.mode === 'up' &&
      network.pathState(node, platform.node) === 'up' &&
      network.pathState(platform.node, node) === 'up'
    );
  };

  const look = (): void =>
    site.hostIds.forEach(id => {
      if (!canRead(id)) {
        blockedAt.set(id, runtime.now());
      }
    });

  const lookOn = (): void => {
    look();
    runtime.at(runtime.now() + LOOK_MS, lookOn);
  };

  const noteMarks = ({endpoints}: GroupObject): void =>
    endpoints.forEach(({id, leaving}) => {
      if (!leaving) {
        markedAt.delete(id);
      } else if (!markedAt.has(id)) {
        markedAt.set(id, runtime.now());
      }
    });

  const checkWork = (host: HostId, endpoint: EndpointId, sql: string): void => {
    const marked = markedAt.get(endpoint);
    if (marked === undefined) {
      return;
    }
    const knownBy = Math.max(marked, blockedAt.get(host) ?? 0) + NO_NEW_WORK_MS;
    if (runtime.now() > knownBy) {
      fail(
        `${host} sent new work to ${endpoint}, marked as leaving at ${marked.toFixed(1)}: ${sql}`,
      );
    }
  };

  const noteRun = (
    host: HostId,
    conn: ConnId,
    endpoint: EndpointId,
    sql: string,
  ): void => {
    const plain = sql.replace(/^\s*\/\*[\s\S]*?\*\/\s*/, '');
    const key = `${incarnations.get(host) ?? host}:${endpoint}:${conn}`;
    const isBegin = TX_BEGIN.test(plain);
    if (isBegin || (!inTx.has(key) && CALLER_WORK.test(plain))) {
      checkWork(host, endpoint, sql);
    }
    if (isBegin) {
      inTx.add(key);
    }
    if (TX_END.test(plain)) {
      inTx.delete(key);
    }
  };

  platform.onUpdate(({key, value}) => {
    if (key.startsWith('groups/')) {
      noteMarks(value as GroupObject);
    }
  });
  network.onBeforeChange(look);
  network.onChange(look);
  lookOn();

  return {
    look,
    noteAction: (host, action) => {
      if (action.type === 'run_conn') {
        const {conn, endpoint, statement} = action;
        noteRun(host, conn, endpoint, statement.sql);
      }
    },
  };
}
