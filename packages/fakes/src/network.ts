/**
 * A fake network under virtual time: delays, cuts and silence between nodes,
 * and ordered two-way connections (pipes) over them.
 */

import type {Instant, Runtime, Unregister} from '@lacewingroad/runtime';

/** Something with an address: an entry host, an endpoint or the platform. */
export interface NetNode {
  readonly id: string;
  /** The data centre, or the name of a place of its own. */
  readonly zone: string;
}

/** What becomes of traffic in one direction. */
export type PathState =
  | 'up'
  /** Refuses new connections and resets open ones. */
  | 'cut'
  /** Keeps everything until the path is up again. */
  | 'silent';

/** Delays of a network, in milliseconds. */
export interface Delays {
  /** One way within a data centre. */
  readonly localMs: number;
  /** One way between two data centres, unless set for the pair. */
  readonly remoteMs: number;
  /** Greatest random addition to each message. */
  readonly jitterMs: number;
}

/** One end of a pipe. */
export interface PipeEnd {
  readonly node: NetNode;
  /** Delivers to the other end, in order; dropped once the pipe ended. */
  readonly send: (fn: () => void) => void;
  /** Ends the pipe at this end; the other end learns of it later. */
  readonly close: () => void;
  readonly isOpen: () => boolean;
  /** Called once when the other end closed or the pipe was reset. */
  onClosed: () => void;
}

/** A connection between two nodes; ends[0] belongs to the opener. */
export interface Pipe {
  readonly ends: readonly [PipeEnd, PipeEnd];
  /** Since when the traffic to an end is silent, or null. */
  readonly silentSince: (end: 0 | 1) => Instant | null;
}

/** The network. */
export interface FakeNetwork {
  readonly runtime: Runtime;
  readonly delayOf: (from: NetNode, to: NetNode) => number;
  readonly setDelay: (zoneA: string, zoneB: string, oneWayMs: number) => void;
  readonly pathState: (from: NetNode, to: NetNode) => PathState;
  /** Sets one direction; a scope is a node, a zone or `*`. */
  readonly setPath: (from: string, to: string, state: PathState) => void;
  /**
   * Keeps all traffic of the connections now open between two scopes for good;
   * new connections work.
   */
  readonly silenceOpen: (scopeA: string, scopeB: string) => void;
  /**
   * Resets the oldest of the connections now open between two nodes, at the
   * node `a` at once and at `b` after `laterMs`.
   */
  readonly resetOldest: (a: string, b: string, laterMs: number) => void;
  /** Makes all paths up. */
  readonly heal: () => void;
  readonly openPipe: (a: NetNode, b: NetNode) => Pipe;
  /** Delivers once after the delay; calls `lost` at once where cut. */
  readonly transmit: (
    from: NetNode,
    to: NetNode,
    fn: () => void,
    lost?: () => void,
  ) => void;
  /** Calls `fn` before any change of a path. */
  readonly onBeforeChange: (fn: () => void) => Unregister;
  /** Calls `fn` after any change of a path. */
  readonly onChange: (fn: () => void) => Unregister;
}

/** State of one direction of a pipe; `held` waits for the path. */
interface Direction {
  readonly from: NetNode;
  readonly to: NetNode;
  lastAt: Instant;
  held: (() => void)[];
  silentSince: Instant | null;
}

interface PipeState {
  readonly nodes: readonly [NetNode, NetNode];
  readonly update: () => void;
  /** Keeps all traffic from now on. */
  readonly silence: () => void;
  /** Ends the pipe for one end, without a word to the other. */
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
  /** States of directions that are not up: by sender, then by receiver. */
  const rules = new Map<string, Map<string, PathState>>();
  const pairDelays = new Map<string, number>();
  const pipes = new Set<PipeState>();
  const before = new Set<() => void>();
  const after = new Set<() => void>();

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

  const change = (apply: () => void): void => {
    before.forEach(fn => fn());
    apply();
    [...pipes].forEach(pipe => pipe.update());
    after.forEach(fn => fn());
  };

  const openPipe = (a: NetNode, b: NetNode): Pipe => {
    const isOpen = [true, true];
    let isSilenced = false;
    const createDirection = (from: NetNode, to: NetNode): Direction => ({
      from,
      to,
      lastAt: 0,
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
      direction.lastAt = Math.max(direction.lastAt, runtime.now() + delayMs);
      runtime.at(direction.lastAt, () => deliver(to, fn));
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
    setPath: (from, to, state) => change(() => setRule(from, to, state)),
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
    heal: () => change(() => rules.clear()),
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
      before.add(fn);
      return () => {
        before.delete(fn);
      };
    },
    onChange: fn => {
      after.add(fn);
      return () => {
        after.delete(fn);
      };
    },
  };
}
