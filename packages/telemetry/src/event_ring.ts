/** A ring buffer of the latest events. */

import type {TimelineEvent} from './event_line.js';

/** Keeps the latest events of one process. */
export interface EventRing {
  readonly push: (event: TimelineEvent) => void;
  /** Returns the kept events with a higher `seq`, oldest first. */
  readonly readAfter: (seq: number) => readonly TimelineEvent[];
}

/** Creates a ring buffer of at most `capacity` events. */
export function createEventRing(capacity: number): EventRing {
  const slots: TimelineEvent[] = [];
  let next = 0;
  return {
    push: event => {
      slots[next] = event;
      next = (next + 1) % capacity;
    },
    readAfter: seq => {
      const isFull = slots.length === capacity;
      const ordered = isFull
        ? [...slots.slice(next), ...slots.slice(0, next)]
        : slots;
      return ordered.filter(event => event.seq > seq);
    },
  };
}
