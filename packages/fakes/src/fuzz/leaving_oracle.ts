/** Checks that endpoints marked as leaving receive no new work. */

import type {
  Action,
  ConnId,
  EndpointId,
  GroupObject,
  HostId,
} from '@lacewingroad/core';
import type {FakeSite} from '../site.js';

/** Time after which a leaving endpoint must receive no new work, in ms. */
const NO_NEW_WORK_MS = 5_000;
/** Interval between checks of the hosts' access to the platform, in ms. */
const POLL_INTERVAL_MS = 200;

const CALLER_WORK = /\bpayments\b/;
const TX_BEGIN = /^(BEGIN|START TRANSACTION)\b/i;
const TX_END = /^(COMMIT|ROLLBACK)\b/i;

/** Tracks leaving endpoints and checks the statements sent to them. */
export interface LeavingOracle {
  /** Records which hosts cannot read the platform; call on fault changes. */
  readonly updatePlatformAccess: () => void;
  /** Checks an action of a host. */
  readonly observeAction: (host: HostId, action: Action) => void;
}

/** Dependencies of the oracle. */
export interface LeavingOracleConfig {
  readonly site: FakeSite;
  readonly fail: (text: string) => void;
}

/** Creates the oracle and starts its periodic check. */
export function createLeavingOracle(cfg: LeavingOracleConfig): LeavingOracle {
  const {site, fail} = cfg;
  const {runtime, platform, network} = site;
  const markedAt = new Map<EndpointId, number>();
  /** Last time at which a host could not read the platform. */
  const blockedAt = new Map<HostId, number>();
  const incarnations = new Map<HostId, string>();
  /** Connections with an open transaction, as `incarnation:endpoint:conn`. */
  const inTx = new Set<string>();

  const canReadPlatform = (id: HostId): boolean => {
    const {process, node, incarnation} = site.hosts.get(id)!;
    const isSameIncarnation = incarnations.get(id) === incarnation;
    incarnations.set(id, incarnation);
    return (
      isSameIncarnation &&
      !process.isDead() &&
      !process.isPaused() &&
      platform.faults.mode === 'up' &&
      network.pathState(node, platform.node) === 'up' &&
      network.pathState(platform.node, node) === 'up'
    );
  };

  const updatePlatformAccess = (): void =>
    site.hostIds.forEach(id => {
      if (!canReadPlatform(id)) {
        blockedAt.set(id, runtime.now());
      }
    });

  const pollPlatformAccess = (): void => {
    updatePlatformAccess();
    runtime.at(runtime.now() + POLL_INTERVAL_MS, pollPlatformAccess);
  };

  const recordMarks = ({endpoints}: GroupObject): void =>
    endpoints.forEach(({id, leaving}) => {
      if (!leaving) {
        markedAt.delete(id);
      } else if (!markedAt.has(id)) {
        markedAt.set(id, runtime.now());
      }
    });

  const checkWork = (host: HostId, endpoint: EndpointId, sql: string): void => {
    const leavingSince = markedAt.get(endpoint);
    if (leavingSince === undefined) {
      return;
    }
    const deadline =
      Math.max(leavingSince, blockedAt.get(host) ?? 0) + NO_NEW_WORK_MS;
    if (runtime.now() > deadline) {
      fail(
        `${host} sent new work to ${endpoint}, marked as leaving at ${leavingSince.toFixed(1)}: ${sql}`,
      );
    }
  };

  const observeStatement = (
    host: HostId,
    conn: ConnId,
    endpoint: EndpointId,
    sql: string,
  ): void => {
    const bareSql = sql.replace(/^\s*\/\*[\s\S]*?\*\/\s*/, '');
    const key = `${incarnations.get(host) ?? host}:${endpoint}:${conn}`;
    const isBegin = TX_BEGIN.test(bareSql);
    if (isBegin || (!inTx.has(key) && CALLER_WORK.test(bareSql))) {
      checkWork(host, endpoint, sql);
    }
    if (isBegin) {
      inTx.add(key);
    }
    if (TX_END.test(bareSql)) {
      inTx.delete(key);
    }
  };

  platform.onUpdate(({key, value}) => {
    if (key.startsWith('groups/')) {
      recordMarks(value as GroupObject);
    }
  });
  network.onBeforeChange(updatePlatformAccess);
  network.onChange(updatePlatformAccess);
  pollPlatformAccess();

  return {
    updatePlatformAccess,
    observeAction: (host, action) => {
      if (action.type === 'run_conn') {
        const {conn, endpoint, statement} = action;
        observeStatement(host, conn, endpoint, statement.sql);
      }
    },
  };
}
