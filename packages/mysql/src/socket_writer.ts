/** Writes to a caller's socket no faster than the caller reads. */

import type {Socket} from 'node:net';
import type {Runtime, Unregister} from '@lacewingroad/runtime';
import {WRITE_TIMEOUT_MS} from './limits.js';

/**
 * Writes chunks, each after the socket took the one before.
 *
 * @throws Error when the socket closes or the caller does not read in time.
 */
export async function writeChunks(
  stream: Socket,
  chunks: Iterable<Buffer>,
  runtime: Runtime,
): Promise<void> {
  for (const chunk of chunks) {
    if (!stream.writable) {
      throw new Error('the caller is gone');
    }
    if (!stream.write(chunk)) {
      await waitForDrain(stream, runtime);
    }
  }
}

function waitForDrain(stream: Socket, runtime: Runtime): Promise<void> {
  return new Promise((resolve, reject) => {
    const settle = (act: () => void): void => {
      cancel();
      stream.off('drain', onDrain);
      stream.off('close', onClose);
      act();
    };
    const onDrain = (): void => settle(resolve);
    const onClose = (): void =>
      settle(() => reject(new Error('the caller does not read')));
    const cancel: Unregister = runtime.at(
      runtime.now() + WRITE_TIMEOUT_MS,
      onClose,
    );
    stream.on('drain', onDrain);
    stream.on('close', onClose);
  });
}
