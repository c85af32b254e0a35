/** Forwards one direction of a proxied connection, with backpressure. */

import type {Socket} from 'node:net';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {ConnectionFaults} from './rules.js';

/** Queued bytes, due to a delay or freeze, above which the source is paused. */
const MAX_QUEUED_BYTES = 1_048_576;

interface QueuedChunk {
  readonly dueAt: Instant;
  /** Null marks the end of the stream. */
  readonly data: Buffer | null;
}

/** One direction of a connection. */
export interface Pipe {
  /** Number of bytes forwarded so far. */
  readonly bytes: () => number;
  /** Applies changed faults to the queued data. */
  readonly refresh: () => void;
}

/** Forwards data from one socket to another, subject to the faults. */
export function createPipe(
  source: Socket,
  target: Socket,
  faults: () => ConnectionFaults,
  isSilent: () => boolean,
  /** Called when the source ends after some of its data was discarded. */
  onEndAfterDiscard: () => void,
  runtime: Runtime,
): Pipe {
  const queue: QueuedChunk[] = [];
  let queuedBytes = 0;
  let forwardedBytes = 0;
  let isTargetFull = false;
  /** Once data has been discarded, no later data may be forwarded. */
  let hasDiscarded = false;
  let cancelTimer: () => void = () => undefined;

  const applyBackpressure = (): void => {
    if (isTargetFull || queuedBytes > MAX_QUEUED_BYTES) {
      source.pause();
    } else {
      source.resume();
    }
  };

  const forward = (chunk: QueuedChunk): void => {
    if (chunk.data === null) {
      target.end();
      return;
    }
    queuedBytes -= chunk.data.length;
    forwardedBytes += chunk.data.length;
    if (!target.destroyed && !target.write(chunk.data)) {
      isTargetFull = true;
    }
  };

  const discard = (): void => {
    const hasEnded = queue.some(({data}) => data === null);
    hasDiscarded = true;
    queuedBytes = 0;
    queue.length = 0;
    if (hasEnded) {
      onEndAfterDiscard();
    }
  };

  const flush = (): void => {
    cancelTimer();
    if (queue.length > 0 && (hasDiscarded || isSilent())) {
      discard();
    }
    while (queue.length > 0 && !isTargetFull && !faults().isFrozen) {
      const first = queue[0]!;
      if (first.dueAt > runtime.now()) {
        cancelTimer = runtime.at(first.dueAt, flush);
        break;
      }
      queue.shift();
      forward(first);
    }
    applyBackpressure();
  };

  const enqueue = (data: Buffer | null): void => {
    queuedBytes += data?.length ?? 0;
    queue.push({dueAt: runtime.now() + faults().delayMs, data});
    flush();
  };

  source.on('data', (data: Buffer) => enqueue(data));
  source.on('end', () => enqueue(null));
  target.on('drain', () => {
    isTargetFull = false;
    flush();
  });
  return {bytes: () => forwardedBytes, refresh: flush};
}
