/**
 * A simulated network under virtual time: delays and faults of the paths
 * between nodes, and ordered bidirectional connections (pipes).
 */

import type {Instant, Runtime, Unregister} from '@lacewingroad/runtime';

/** A network node: an entry host, an endpoint or the platform. */
export interface NetNode {
  readonly id: string;
  /** The data centre, or a separate zone such as the platform's. */
  readonly zone: string;
}

/** State of the traffic in one direction. */
export type PathState =
  | 'up'
  /** Refuses new connections and resets open ones. */
  | 'cut'
  /** Holds the traffic of pipes until the path is up; drops other messages. */
  | 'silent';

/** Delays of a network, in milliseconds. */
export interface Delays {
  /** One way within a data centre. */
  readonly localMs: number;
  /** One way between two data centres, unless set for the pair. */
  readonly remoteMs: number;
  /** Maximum random delay added to each message. */
  readonly jitterMs: number;
}

/** One end of a pipe. */
export interface PipeEnd {
  readonly node: NetNode;
  /** Delivers to the other end, in order, unless the pipe is closed by then. */
  readonly send: (fn: () => void) => void;
  /** Closes this end; the other end is notified after the delay. */
  readonly close: () => void;
  readonly isOpen: () => boolean;
  /** Called once when the other end closed or the pipe was reset. */
  onClosed: () => void;
}

/** A connection between two nodes; ends[0] belongs to the opener. */
export interface Pipe {
  readonly ends: readonly [PipeEnd, PipeEnd];
  /** Returns when the traffic to an end began to be held, or null if it is not. */
  readonly silentSince: (end: 0 | 1) => Instant | null;
}

/** A simulated network. */
export interface FakeNetwork {
  readonly runtime: Runtime;
  /** Returns the delay of one direction, without jitter, in milliseconds. */
  readonly delayOf: (from: NetNode, to: NetNode) => number;
  readonly setDelay: (zoneA: string, zoneB: string, oneWayMs: number) => void;
  readonly pathState: (from: NetNode, to: NetNode) => PathState;
  /** Sets the state of one direction; each scope is a node, a zone or `*`. */
  readonly setPath: (from: string, to: string, state: PathState) => void;
  /**
   * Permanently holds all traffic of the connections now open between two
   * scopes; new connections work.
   */
  readonly silenceOpen: (scopeA: string, scopeB: string) => void;
  /**
   * Resets the oldest connection now open between two nodes: at node `a` at
   * once, at node `b` after `laterMs`.
   */
  readonly resetOldest: (a: string, b: string, laterMs: number) => void;
  /** Sets all paths to `up`. */
  readonly heal: () => void;
  readonly openPipe: (a: NetNode, b: NetNode) => Pipe;
  /** Delivers once after the delay; calls `lost` at once on a cut path. */
  readonly transmit: (
    from: NetNode,
    to: NetNode,
    fn: () => void,
    lost?: () => void,
  ) => void;
  /** Calls `fn` before each change of a path. */
  readonly onBeforeChange: (fn: () => void) => Unregister;
  /** Calls `fn` after each change of a path. */
  readonly onChange: (fn: () => void) => Unregister;
}

/** State of one direction of a pipe; `held` waits for a silent path. */
interface Direction {
  readonly from: NetNode;
  readonly to: NetNode;
  lastDeliveryAt: Instant;
  held: (() => void)[];
  silentSince: Instant | null;
}

interface PipeState {
  readonly nodes: readonly [NetNode, NetNode];
  readonly update: () => void;
  /** Holds all traffic from now on. */
  readonly silence: () => void;
  /** Closes one end without notifying the other. */
  readonly end: (index: 0 | 1) => void;
}

function isWithin({id, zone}: NetNode, scope: string): boolean {
  return [id, zone, '*'].includes(scope);
}

/** Creates a network with all paths up. */
export function createFakeNetwork(
  runtime: Runtime,
  delays: Delays,
): FakeNetwork {
  /** States of the paths that are not up, by sender and then by receiver. */
  const rules = new Map<string, Map<string, PathState>>();
  const pairDelays = new Map<string, number>();
  const pipes = new Set<PipeState>();
  const beforeChangeListeners = new Set<() => void>();
  const changeListeners = new Set<() => void>();

  const delayOf = (from: NetNode, to: NetNode): number => {
    const pair = pairDelays.get(`${from.zone}>${to.zone}`);
    return pair ?? (from.zone === to.zone ? delays.localMs : delays.remoteMs);
  };

  const withJitter = (ms: number): number =>
    delays.jitterMs === 0 ? ms : ms + runtime.random() * delays.jitterMs;

  const pathState = (from: NetNode, to: NetNode): PathState => {
    if (rules.size === 0) {
      return 'up';
    }
    let worst: PathState = 'up';
    for (const a of [from.id, from.zone, '*']) {
      const row = rules.get(a);
      if (row === undefined) {
        continue;
      }
      for (const b of [to.id, to.zone, '*']) {
        const state = row.get(b);
        if (state === 'cut') {
          return 'cut';
        }
        worst = state ?? worst;
      }
    }
    return worst;
  };

  const setRule = (from: string, to: string, state: PathState): void => {
    const row = rules.get(from) ?? new Map<string, PathState>();
    if (state === 'up') {
      row.delete(to);
    } else {
      row.set(to, state);
    }
    if (row.size === 0) {
      rules.delete(from);
    } else {
      rules.set(from, row);
    }
  };

  const applyChange = (apply: () => void): void => {
    beforeChangeListeners.forEach(fn => fn());
    apply();
    [...pipes].forEach(pipe => pipe.update());
    changeListeners.forEach(fn => fn());
  };

  const openPipe = (a: NetNode, b: NetNode): Pipe => {
    const isOpen = [true, true];
    let isSilenced = false;
    const createDirection = (from: NetNode, to: NetNode): Direction => ({
      from,
      to,
      lastDeliveryAt: 0,
      held: [],
      silentSince: pathState(from, to) === 'silent' ? runtime.now() : null,
    });
    /** Indexed by the receiving end. */
    const directions = [createDirection(b, a), createDirection(a, b)] as const;

    const deliver = (to: 0 | 1, fn: () => void): void => {
      const direction = directions[to];
      if (direction.held.length > 0 || direction.silentSince !== null) {
        direction.held.push(fn);
        return;
      }
      if (isOpen[to]) {
        fn();
      }
    };

    const send = (to: 0 | 1, fn: () => void): void => {
      const direction = directions[to];
      const delayMs = withJitter(delayOf(direction.from, direction.to));
      direction.lastDeliveryAt = Math.max(
        direction.lastDeliveryAt,
        runtime.now() + delayMs,
      );
      runtime.at(direction.lastDeliveryAt, () => deliver(to, fn));
    };

    const end = (index: 0 | 1): void => {
      if (isOpen[index]) {
        isOpen[index] = false;
        if (!isOpen[0] && !isOpen[1]) {
          pipes.delete(state);
        }
        ends[index].onClosed();
      }
    };

    const createEnd = (index: 0 | 1): PipeEnd => {
      const other = index === 0 ? 1 : 0;
      return {
        node: index === 0 ? a : b,
        isOpen: () => isOpen[index]!,
        send: fn => {
          if (isOpen[index]) {
            send(other, fn);
          }
        },
        close: () => {
          if (!isOpen[index]) {
            return;
          }
          isOpen[index] = false;
          if (isOpen[other]) {
            send(other, () => end(other));
          } else {
            pipes.delete(state);
          }
        },
        onClosed: () => undefined,
      };
    };
    const ends = [createEnd(0), createEnd(1)] as const;

    const update = (): void => {
      const states = directions.map(({from, to}) => pathState(from, to));
      if (states.includes('cut')) {
        end(0);
        end(1);
        return;
      }
      for (const to of [0, 1] as const) {
        const direction = directions[to];
        if (isSilenced || states[to] === 'silent') {
          direction.silentSince ??= runtime.now();
          continue;
        }
        direction.silentSince = null;
        const held = direction.held;
        direction.held = [];
        held.forEach(fn => send(to, fn));
      }
    };
    const state: PipeState = {
      nodes: [a, b],
      update,
      silence: () => {
        isSilenced = true;
        update();
      },
      end,
    };
    pipes.add(state);
    return {ends, silentSince: to => directions[to].silentSince};
  };

  return {
    runtime,
    delayOf,
    setDelay: (zoneA, zoneB, oneWayMs) => {
      pairDelays.set(`${zoneA}>${zoneB}`, oneWayMs);
      pairDelays.set(`${zoneB}>${zoneA}`, oneWayMs);
    },
    pathState,
    setPath: (from, to, state) => applyChange(() => setRule(from, to, state)),
    silenceOpen: (scopeA, scopeB) => {
      const isBetween = ([a, b]: PipeState['nodes']): boolean =>
        (isWithin(a, scopeA) && isWithin(b, scopeB)) ||
        (isWithin(a, scopeB) && isWithin(b, scopeA));
      [...pipes]
        .filter(pipe => isBetween(pipe.nodes))
        .forEach(pipe => pipe.silence());
    },
    resetOldest: (a, b, laterMs) => {
      const found = [...pipes].find(
        ({nodes: [one, other]}) =>
          (one.id === a && other.id === b) || (one.id === b && other.id === a),
      );
      if (found === undefined) {
        return;
      }
      const first = found.nodes[0].id === a ? 0 : 1;
      found.end(first);
      const endAt = runtime.now() + laterMs;
      runtime.at(endAt, () => found.end(first === 0 ? 1 : 0));
    },
    heal: () => applyChange(() => rules.clear()),
    openPipe,
    transmit: (from, to, fn, lost = () => undefined) => {
      const state = pathState(from, to);
      if (state === 'cut') {
        lost();
        return;
      }
      if (state === 'up') {
        runtime.at(runtime.now() + withJitter(delayOf(from, to)), fn);
      }
    },
    onBeforeChange: fn => {
      beforeChangeListeners.add(fn);
      return () => {
        beforeChangeListeners.delete(fn);
      };
    },
    onChange: fn => {
      changeListeners.add(fn);
      return () => {
        changeListeners.delete(fn);
      };
    },
  };
}
