/** Writes to a caller's socket with backpressure. */

import type {Socket} from 'node:net';
import type {Runtime, Unregister} from '@lacewingroad/runtime';
import {WRITE_TIMEOUT_MS} from './limits.js';

/**
 * Writes chunks; waits for the socket to drain when its buffer is full.
 *
 * @throws Error when the socket closes or does not drain in time.
 */
export async function writeChunks(
  stream: Socket,
  chunks: Iterable<Buffer>,
  runtime: Runtime,
): Promise<void> {
  for (const chunk of chunks) {
    if (!stream.writable) {
      throw new Error('the caller disconnected');
    }
    if (!stream.write(chunk)) {
      await waitForDrain(stream, runtime);
    }
  }
}

function waitForDrain(stream: Socket, runtime: Runtime): Promise<void> {
  return new Promise((resolve, reject) => {
    const settle = (complete: () => void): void => {
      cancelTimeout();
      stream.off('drain', onDrain);
      stream.off('close', fail);
      complete();
    };
    const onDrain = (): void => settle(resolve);
    const fail = (): void =>
      settle(() =>
        reject(new Error('the caller disconnected or did not read in time')),
      );
    const cancelTimeout: Unregister = runtime.at(
      runtime.now() + WRITE_TIMEOUT_MS,
      fail,
    );
    stream.on('drain', onDrain);
    stream.on('close', fail);
  });
}
