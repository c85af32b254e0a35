/** A fake group of endpoints in virtual time, with terms and replication. */

import type {LogPosition} from '@lacewingroad/core';
import type {VirtualRuntime} from '@lacewingroad/runtime';
import type {
  EndpointCommand,
  EndpointFault,
  EndpointReply,
  TxState,
} from '../model/statement.js';
import type {EndpointEntry} from '../model/directory.js';
import type {OpenEndpointConn, Promote} from '../ports.js';

const HANDSHAKE_MS = 12;
const NETWORK_DELAY_MS = 1;

/** Faults of commands that an endpoint has run. */
const RAN_FAULTS: ReadonlySet<EndpointFault> = new Set(['failed', 'timed_out']);

/** A statement that an endpoint executed. */
export interface ExecutedStatement {
  readonly at: number;
  readonly endpoint: string;
  readonly request: string | null;
  readonly text: string;
  readonly index: number;
  readonly term: number;
  /** The workspace for which the connection speaks. */
  readonly workspace: string | null;
  /** The prepared shape that it executed, or null. */
  readonly shape: string | null;
  /** The session values of the connection. */
  readonly values: Readonly<Record<string, string>>;
}

/** A commit that a replica has to receive before it is acknowledged. */
interface UnconfirmedCommit {
  readonly index: number;
  readonly confirm: () => void;
}

export interface FakeEndpoint {
  entry: EndpointEntry;
  role: 'primary' | 'replica';
  term: number;
  received: number;
  applied: number;
  lagMs: number;
  executionMs: number;
  isUnresponsive: boolean;
  /** It answers a status probe with busy while all slots are taken. */
  needsSlotForStatus: boolean;
  /** It receives no commits from the primary. */
  isDeaf: boolean;
  /** Endpoints whose commits it doesn't receive. */
  unheard: Set<string>;
  /** Texts of its commits, by index. */
  log: string[];
  /** Term of its last commit. */
  logTerm: number;
  /** Commits that no replica has received yet. */
  unconfirmed: UnconfirmedCommit[];
  /**
   * Statements whose replies are lost, by text, or by type if they have no
   * text.
   */
  lostReplies: Set<string>;
  /** Every n-th statement fails; 0 for none. */
  failEveryNth: number;
  statements: number;
  /** Faults with which the next statements fail, in order. */
  faults: EndpointFault[];
  /** Faults with which the pool's next commands of a type fail, in order. */
  commandFaults: Map<EndpointCommand['type'], EndpointFault[]>;
  conns: number;
  /** Connections that it accepts. */
  maxConns: number;
  /** Connections that it refused for being too many. */
  refusedConns: number;
  /** Breaks all connections. */
  reset: () => void;
  running: number;
  maxRunning: number;
}

/** A fake group of endpoints. */
export interface FakeGroup {
  readonly endpoints: Map<string, FakeEndpoint>;
  readonly ran: ExecutedStatement[];
  readonly promotions: {endpoint: string; generation: number}[];
  /**
   * Time from a commit until replicas receive it, in ms. Above 0, a commit is
   * answered with the position of the whole log, as real endpoints do.
   */
  replicationMs: number;
  /** Positions have the term of the last commit, not that of the endpoint. */
  hasCommitTerms: boolean;
  /** Time from a promotion call until it takes effect, in ms. */
  promotionMs: number;
  /** Time until a replaced primary that hears the new one steps down, in ms. */
  stepDownMs: number;
  /** Replicas that reach the primary receive its whole log. */
  readonly catchUp: () => void;
  /** Called when a promotion takes effect. */
  onPromoted: (endpoint: FakeEndpoint) => void;
  /** Commands of all connections, in the order in which they ran. */
  readonly commands: {conn: number; type: string; request: string | null}[];
  readonly openConn: OpenEndpointConn;
  promote: Promote;
  readonly readEntries: () => ReadonlyMap<string, EndpointEntry>;
  readonly get: (id: string) => FakeEndpoint;
}

/** Creates a group whose first endpoint is the primary. */
export function createFakeGroup(
  runtime: VirtualRuntime,
  group: string,
  count = 3,
): FakeGroup {
  const endpoints = new Map<string, FakeEndpoint>();
  const ran: ExecutedStatement[] = [];
  const promotions: {endpoint: string; generation: number}[] = [];
  const commands: FakeGroup['commands'] = [];
  let nextConn = 1;
  for (let number = 1; number <= count; number++) {
    const id = `${group}-${number}`;
    endpoints.set(id, {
      entry: {
        id,
        group,
        address: `10.0.0.${number}:1`,
        dataCentre: `dc-${number}`,
        slots: 2,
        isLeaving: false,
        role: number === 1 ? 'primary' : 'replica',
        startedAt: 1,
      },
      role: number === 1 ? 'primary' : 'replica',
      term: 1,
      received: 0,
      applied: 0,
      lagMs: 5,
      executionMs: 4,
      isUnresponsive: false,
      isDeaf: false,
      unheard: new Set(),
      log: [],
      logTerm: 1,
      unconfirmed: [],
      needsSlotForStatus: false,
      lostReplies: new Set(),
      failEveryNth: 0,
      statements: 0,
      faults: [],
      commandFaults: new Map(),
      conns: 0,
      maxConns: Infinity,
      refusedConns: 0,
      reset: () => undefined,
      running: 0,
      maxRunning: 0,
    });
  }

  const get = (id: string): FakeEndpoint => endpoints.get(id)!;

  const hears = (replica: FakeEndpoint, primary: FakeEndpoint): boolean =>
    replica.role === 'replica' &&
    !replica.isUnresponsive &&
    !replica.isDeaf &&
    !replica.unheard.has(primary.entry.id) &&
    replica.term <= primary.term;

  /** Gives the start of a primary's log to those who hear it. */
  const replicate = (primary: FakeEndpoint, index: number): boolean => {
    const {term} = primary;
    let received = 0;
    for (const other of endpoints.values()) {
      if (!hears(other, primary)) {
        continue;
      }
      received++;
      if (index > other.received || other.term < term) {
        other.received = Math.max(other.received, index);
        other.log = primary.log.slice(0, other.received + 1);
        other.logTerm = primary.logTerm;
      }
      runtime.at(runtime.now() + other.lagMs, () => {
        other.term = Math.max(other.term, term);
        other.applied = Math.max(other.applied, index);
      });
    }
    return received > 0;
  };

  /** Confirms the commits of a primary up to an index. */
  const confirm = (primary: FakeEndpoint, index: number): void => {
    const done = primary.unconfirmed.filter(commit => commit.index <= index);
    primary.unconfirmed = primary.unconfirmed.filter(
      commit => commit.index > index,
    );
    done.forEach(commit => commit.confirm());
  };

  const findPrimary = (): FakeEndpoint =>
    [...endpoints.values()]
      .filter(({role}) => role === 'primary')
      .reduce((best, other) => (other.term > best.term ? other : best));

  /** Rolls back what the primary of the highest term does not have. */
  const followPrimary = (endpoint: FakeEndpoint): void => {
    const primary = findPrimary();
    if (primary.term > endpoint.term) {
      endpoint.role = 'replica';
      endpoint.term = primary.term;
      endpoint.received = Math.min(endpoint.received, primary.received);
      endpoint.log = primary.log.slice(0, endpoint.received + 1);
      endpoint.logTerm = primary.logTerm;
      endpoint.unconfirmed = [];
      endpoint.applied = Math.min(endpoint.applied, endpoint.received);
    }
  };

  const getLogTerm = ({term, logTerm}: FakeEndpoint): number =>
    fakeGroup.hasCommitTerms ? logTerm : term;

  const getPosition = (endpoint: FakeEndpoint): LogPosition => ({
    term: getLogTerm(endpoint),
    index: endpoint.role === 'primary' ? endpoint.received : endpoint.applied,
  });

  const isBehind = (
    endpoint: FakeEndpoint,
    after: LogPosition | null,
  ): boolean => {
    const at = getPosition(endpoint);
    return (
      after !== null &&
      (at.term < after.term ||
        (at.term === after.term && at.index < after.index))
    );
  };

  /** Commits at an endpoint; returns whether replicas have received it. */
  const commitAt = (
    endpoint: FakeEndpoint,
    text: string,
    onConfirmed: () => void,
  ): boolean => {
    endpoint.received++;
    endpoint.applied = endpoint.received;
    const {term, received: index} = endpoint;
    endpoint.log[index] = text;
    endpoint.logTerm = term;
    if (fakeGroup.replicationMs === 0) {
      return replicate(endpoint, index);
    }
    endpoint.unconfirmed.push({index, confirm: onConfirmed});
    runtime.at(runtime.now() + fakeGroup.replicationMs, () => {
      const isLeading =
        endpoint.role === 'primary' &&
        endpoint.term === term &&
        !endpoint.isUnresponsive;
      if (isLeading && replicate(endpoint, index)) {
        confirm(endpoint, index);
      }
    });
    return false;
  };

  const describe = (command: EndpointCommand): string =>
    command.type === 'run' ? command.text : command.type;

  const openConn: OpenEndpointConn = (entry, workspace, handlers) => {
    const endpoint = endpoints.get(entry.id)!;
    const conn = nextConn++;
    let isClosed = false;
    const resetBefore = endpoint.reset;
    endpoint.reset = () => {
      resetBefore();
      if (!isClosed) {
        isClosed = true;
        endpoint.conns--;
        handlers.onClosed('reset');
      }
    };
    let state: TxState = 'idle';
    let hasWritten = false;
    let lastWrite = '';
    const prepared = new Map<string, string>();
    const values = new Map<string, string>();
    endpoint.conns++;
    const schedule = (ms: number, fn: () => void): void => {
      runtime.at(runtime.now() + ms, () => {
        if (!isClosed && !endpoint.isUnresponsive) {
          fn();
        }
      });
    };
    const isTooMany = endpoint.conns > endpoint.maxConns;
    schedule(HANDSHAKE_MS, () => {
      if (isTooMany) {
        isClosed = true;
        endpoint.conns--;
        endpoint.refusedConns++;
        handlers.onRefused('too_many_connections');
        return;
      }
      handlers.onReady(getPosition(endpoint));
    });

    const run = (
      command: EndpointCommand,
      request: string | null,
      after: LogPosition | null,
      onConfirmed: (reply: EndpointReply) => void,
    ): EndpointReply | 'no_reply' => {
      const error = (fault: EndpointFault): EndpointReply => ({
        type: 'error',
        fault,
        text: fault,
        state,
        position: getPosition(endpoint),
      });
      const done = (rows: readonly string[] = []): EndpointReply => ({
        type: 'done',
        rows,
        signature: 'signature',
        state,
        position: getPosition(endpoint),
      });
      const fault = request === null ? undefined : endpoint.faults.shift();
      if (fault !== undefined) {
        return error(fault);
      }
      const commandFault =
        request === null
          ? endpoint.commandFaults.get(command.type)?.shift()
          : undefined;
      if (commandFault !== undefined && !RAN_FAULTS.has(commandFault)) {
        return error(commandFault);
      }
      if (request !== null && endpoint.failEveryNth > 0) {
        endpoint.statements++;
        if (endpoint.statements % endpoint.failEveryNth === 0) {
          return error('failed');
        }
      }
      const isFull = endpoint.running >= endpoint.entry.slots;
      if (command.type === 'status' && endpoint.needsSlotForStatus && isFull) {
        return error('busy');
      }
      if (command.type === 'step_down' && endpoint.term < command.term) {
        endpoint.role = 'replica';
        followPrimary(endpoint);
      }
      if (command.type === 'status' || command.type === 'step_down') {
        const {role, term, received, lagMs} = endpoint;
        const position = `${getLogTerm(endpoint)}.${received}`;
        return done([`${role} ${term} ${position} 0 ${lagMs} 0 0`]);
      }
      if (command.type === 'rollback') {
        state = 'idle';
        hasWritten = false;
        return done();
      }
      if (command.type === 'reset') {
        prepared.clear();
        values.clear();
      }
      if (command.type === 'set') {
        values.set(command.name, command.value);
      }
      if (command.type === 'prepare') {
        prepared.set(command.name, command.shape);
      }
      if (commandFault !== undefined) {
        return error(commandFault);
      }
      const shape =
        command.type === 'execute' ? prepared.get(command.name) : null;
      if (shape === undefined) {
        return error('not_prepared');
      }
      if (isBehind(endpoint, after)) {
        return error('lagging');
      }
      if (command.type === 'begin') {
        if (endpoint.role !== 'primary' && !command.readOnly) {
          return error('read_only');
        }
        state = 'open';
        return done();
      }
      const isWrite =
        (command.type === 'run' || command.type === 'execute') &&
        command.access === 'write';
      if (isWrite && endpoint.role !== 'primary') {
        return error('read_only');
      }
      if (request !== null) {
        ran.push({
          at: runtime.now(),
          endpoint: entry.id,
          request,
          text: describe(command),
          index: getPosition(endpoint).index,
          term: endpoint.term,
          workspace,
          shape,
          values: Object.fromEntries(values),
        });
      }
      hasWritten ||= isWrite;
      lastWrite = isWrite ? describe(command) : lastWrite;
      const isCommit =
        command.type === 'commit' || (isWrite && state === 'idle');
      if (command.type === 'commit') {
        state = 'idle';
      }
      if (isCommit && hasWritten) {
        hasWritten = false;
        const answer = (): void => onConfirmed(done(['row']));
        if (!commitAt(endpoint, lastWrite, answer)) {
          return 'no_reply';
        }
      }
      return done(['row']);
    };

    let busyUntil = 0;
    return {
      send: (command, request, after, onReply) => {
        const isStatement = request !== null;
        const startAt = Math.max(busyUntil, runtime.now() + NETWORK_DELAY_MS);
        busyUntil = startAt + (isStatement ? endpoint.executionMs : 0);
        if (isStatement) {
          endpoint.running++;
          endpoint.maxRunning = Math.max(endpoint.maxRunning, endpoint.running);
          runtime.at(busyUntil, () => endpoint.running--);
        }
        runtime.at(busyUntil, () => {
          if (endpoint.isUnresponsive || isClosed) {
            return;
          }
          commands.push({conn, type: command.type, request});
          const answer = (reply: EndpointReply): void => {
            const isLost =
              isStatement && endpoint.lostReplies.has(describe(command));
            if (!isLost) {
              schedule(NETWORK_DELAY_MS, () => onReply(reply));
            }
          };
          const reply = run(command, request, after, answer);
          if (reply !== 'no_reply') {
            answer(reply);
          }
        });
      },
      close: () => {
        if (!isClosed) {
          isClosed = true;
          endpoint.conns--;
        }
      },
    };
  };

  /** Makes replaced primaries follow the new one, once they hear it. */
  const stepDownLater = (): void => {
    if (!Number.isFinite(fakeGroup.stepDownMs)) {
      return;
    }
    runtime.at(runtime.now() + fakeGroup.stepDownMs, () => {
      const primary = findPrimary();
      const replaced = [...endpoints.values()].filter(
        ({role, term}) => role === 'primary' && term < primary.term,
      );
      const hearing = replaced.filter(
        ({isUnresponsive, unheard}) =>
          !isUnresponsive &&
          !unheard.has(primary.entry.id) &&
          !primary.isUnresponsive,
      );
      hearing.forEach(followPrimary);
      if (hearing.length < replaced.length) {
        stepDownLater();
      }
    });
  };

  const fakeGroup: FakeGroup = {
    endpoints,
    ran,
    promotions,
    commands,
    openConn,
    get,
    replicationMs: 0,
    hasCommitTerms: false,
    promotionMs: 600,
    stepDownMs: Infinity,
    catchUp: () => {
      const primary = findPrimary();
      if (!primary.isUnresponsive) {
        endpoints.forEach(followPrimary);
        if (replicate(primary, primary.received)) {
          confirm(primary, primary.received);
        }
      }
    },
    onPromoted: () => undefined,
    promote: ({endpoint: id, generation}) => {
      promotions.push({endpoint: id, generation});
      const endpoint = get(id);
      if (endpoint.isUnresponsive) {
        return Promise.resolve({type: 'rejected', detail: 'not running'});
      }
      runtime.at(runtime.now() + fakeGroup.promotionMs, () => {
        if (endpoint.isUnresponsive || endpoint === findPrimary()) {
          return;
        }
        const term = Math.max(...[...endpoints.values()].map(e => e.term)) + 1;
        endpoint.role = 'primary';
        endpoint.term = term;
        endpoint.applied = endpoint.received;
        fakeGroup.onPromoted(endpoint);
        for (const other of endpoints.values()) {
          if (
            other !== endpoint &&
            !other.isUnresponsive &&
            !other.unheard.has(id) &&
            other.role === 'replica'
          ) {
            followPrimary(other);
          }
        }
        stepDownLater();
      });
      return Promise.resolve({type: 'accepted'});
    },
    readEntries: () =>
      new Map([...endpoints].map(([id, {entry}]) => [id, entry])),
  };
  return fakeGroup;
}

/** Parses the status row of a fake endpoint. */
export function readFakeStatus(row: string) {
  const [role, term, received, , lag] = row.split(' ');
  const [receivedTerm, index] = received!.split('.');
  return {
    role: role as 'primary' | 'replica',
    term: Number(term),
    received: {term: Number(receivedTerm), index: Number(index)},
    lagMs: Number(lag),
  };
}
