/**
 * The engine: turns an event into a new snapshot and a list of actions.
 * Features register handlers for events; the engine depends on none of them.
 */

import {invariant} from './invariant.js';
import type {Action} from './action.js';
import type {Blackboard} from './blackboard.js';
import type {Event, EventOf} from './event.js';
import type {Instant} from '../model/ids.js';

/** Inputs of a handler besides the blackboard. */
export interface Context {
  readonly now: Instant;
  readonly random: () => number;
}

/** Result of a handler: the next snapshot and the actions to perform. */
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

/** The decision engine of one entry host. */
export interface Engine {
  /** Returns the current snapshot. */
  readonly getBoard: () => Blackboard;
  /** Handles an event and returns the actions for the adapters. */
  readonly dispatch: (event: Event, ctx: Context) => readonly Action[];
  /** Adds a feature; its handlers run after those registered before. */
  readonly registerFeature: (feature: Feature) => Unregister;
  /** Calls `listener` after every dispatch that changed the snapshot. */
  readonly registerListener: (listener: BoardListener) => Unregister;
}

/** Limit of events per dispatch; more indicate a loop between controllers. */
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

  const processEvents = (first: Event, ctx: Context): readonly Action[] => {
    const pending: Event[] = [first];
    const external: Action[] = [];
    for (let index = 0; index < pending.length; index++) {
      invariant(
        index < MAX_EVENTS_PER_DISPATCH,
        `Event ${first.type} caused more than ${MAX_EVENTS_PER_DISPATCH} events in one dispatch.`,
      );
      const event = pending[index]!;
      for (const handler of handlers.get(event.type) ?? []) {
        const change = handler(board, event, ctx);
        board = change.board;
        collectActions(change.actions, board.self.host, pending, external);
      }
    }
    return external;
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
        return processEvents(event, ctx);
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

/** Connection generation for messages of a host to itself. */
const SELF_GENERATION = 0;

/**
 * Splits actions: events and messages to this host are handled in the same
 * dispatch, all others are returned to the caller.
 */
function collectActions(
  actions: readonly Action[],
  self: string,
  pending: Event[],
  external: Action[],
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
    external.push(action);
  }
}
