/**
 * The engine: an event goes in, a new snapshot and a list of actions come out.
 * Features register handlers for events; the engine knows none of them.
 */

import {invariant} from './invariant.js';
import type {Action} from './action.js';
import type {Blackboard} from './blackboard.js';
import type {Event, EventOf} from './event.js';
import type {Instant} from '../model/ids.js';

/** What a handler may read besides the blackboard. */
export interface Context {
  readonly now: Instant;
  readonly random: () => number;
}

/** What a handler returns: the next snapshot and what is to be done. */
export interface Change {
  readonly board: Blackboard;
  readonly actions: readonly Action[];
}

/** Handles one type of event. */
export type Handler<T extends Event['type']> = (
  board: Blackboard,
  event: EventOf<T>,
  ctx: Context,
) => Change;

/** Handlers by event type. */
export type HandlerTable = {
  readonly [T in Event['type']]?: Handler<T>;
};

/** A named set of handlers. */
export interface Feature {
  readonly name: string;
  readonly handlers: HandlerTable;
}

/** Removes a registration; calling it again does nothing. */
export type Unregister = () => void;

/** Called with each new snapshot and the one before it. */
export type BoardListener = (board: Blackboard, previous: Blackboard) => void;

/** The decision library of one entry host. */
export interface Engine {
  /** Returns the current snapshot. */
  readonly getBoard: () => Blackboard;
  /** Handles an event and returns the actions for the outside. */
  readonly dispatch: (event: Event, ctx: Context) => readonly Action[];
  /** Adds a feature; its handlers run after those registered before. */
  readonly registerFeature: (feature: Feature) => Unregister;
  /** Calls `listener` after every dispatch that changed the snapshot. */
  readonly registerListener: (listener: BoardListener) => Unregister;
}

/** Events that one dispatch may cause; more means controllers that loop. */
const MAX_EVENTS_PER_DISPATCH = 10_000;

type AnyHandler = (board: Blackboard, event: Event, ctx: Context) => Change;

/** Returns a change that leaves the blackboard as it is. */
export function unchanged(
  board: Blackboard,
  ...actions: readonly Action[]
): Change {
  return {board, actions};
}

/** Applies steps one after the other and joins their actions. */
export function chain(
  board: Blackboard,
  ...steps: readonly ((board: Blackboard) => Change)[]
): Change {
  let current = board;
  const actions: Action[] = [];
  for (const step of steps) {
    const change = step(current);
    current = change.board;
    actions.push(...change.actions);
  }
  return {board: current, actions};
}

/** Creates an engine without features. */
export function createEngine(initial: Blackboard): Engine {
  const handlers = new Map<Event['type'], readonly AnyHandler[]>();
  const listeners = new Set<BoardListener>();
  let board = initial;
  let isDispatching = false;

  const runTurn = (first: Event, ctx: Context): readonly Action[] => {
    const pending: Event[] = [first];
    const outside: Action[] = [];
    for (let index = 0; index < pending.length; index++) {
      invariant(
        index < MAX_EVENTS_PER_DISPATCH,
        `Event ${first.type} caused more than ${MAX_EVENTS_PER_DISPATCH} events in one turn.`,
      );
      const event = pending[index]!;
      for (const handler of handlers.get(event.type) ?? []) {
        const change = handler(board, event, ctx);
        board = change.board;
        collectActions(change.actions, board.self.host, pending, outside);
      }
    }
    return outside;
  };

  return {
    getBoard: () => board,
    dispatch: (event, ctx) => {
      invariant(
        !isDispatching,
        'dispatch was called from within a handler; return an emit action instead.',
      );
      const previous = board;
      isDispatching = true;
      try {
        return runTurn(event, ctx);
      } finally {
        isDispatching = false;
        if (board !== previous) {
          listeners.forEach(listener => listener(board, previous));
        }
      }
    },
    registerFeature: feature => {
      const added = Object.entries(feature.handlers) as [
        Event['type'],
        AnyHandler,
      ][];
      for (const [type, handler] of added) {
        handlers.set(type, [...(handlers.get(type) ?? []), handler]);
      }
      return () => {
        for (const [type, handler] of added) {
          const left = (handlers.get(type) ?? []).filter(h => h !== handler);
          handlers.set(type, left);
        }
      };
    },
    registerListener: listener => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
}

/** Generation of the link from a host to itself; it never breaks. */
const SELF_GENERATION = 0;

/** Sorts actions: events and messages to this host stay inside the turn. */
function collectActions(
  actions: readonly Action[],
  self: string,
  pending: Event[],
  outside: Action[],
): void {
  for (const action of actions) {
    if (action.type === 'emit') {
      pending.push(action.event);
      continue;
    }
    if (action.type === 'send' && action.host === self) {
      pending.push({
        type: 'peer_message',
        host: self,
        generation: SELF_GENERATION,
        msg: action.msg,
      });
      continue;
    }
    outside.push(action);
  }
}
