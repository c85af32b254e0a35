/** Bounds what connections that have not said hello use. */

import type {Socket} from 'node:net';
import type {Runtime} from '@lacewingroad/runtime';
import {CONNECT_TIMEOUT_MS, MAX_BYTES_BEFORE_HELLO} from './limits.js';

/** Accepted connections without a hello. */
export interface NewConnections {
  /** Adds an accepted connection; may close the oldest one. */
  readonly add: (socket: Socket) => void;
  /** Takes a connection whose hello was accepted out of the bounds. */
  readonly release: (socket: Socket) => void;
}

/**
 * Creates an empty set of at most `maxConnections`. `onDropped` is called for each connection that is closed
 * because it exceeded a bound.
 */
export function createNewConnections(
  runtime: Runtime,
  maxConnections: number,
  onDropped: (reason: string) => void,
): NewConnections {
  /** Functions that end the observation, by connection; the oldest is first. */
  const observed = new Map<Socket, () => void>();

  const release = (socket: Socket): void => {
    observed.get(socket)?.();
    observed.delete(socket);
  };

  const drop = (socket: Socket, reason: string): void => {
    release(socket);
    socket.destroy();
    onDropped(reason);
  };

  return {
    add: socket => {
      let bytes = 0;
      const countBytes = (chunk: Buffer): void => {
        bytes += chunk.length;
        if (bytes > MAX_BYTES_BEFORE_HELLO) {
          drop(socket, 'too_many_bytes');
        }
      };
      const handleTimeout = (): void => drop(socket, 'no_hello');
      const forget = (): void => release(socket);
      const unregister = runtime.at(
        // The link has its own timeout once the connection is upgraded.
        runtime.now() + 2 * CONNECT_TIMEOUT_MS,
        handleTimeout,
      );
      // The listener must not be the one that starts the flow of data.
      socket.prependListener('data', countBytes);
      socket.once('close', forget);
      observed.set(socket, () => {
        unregister();
        socket.off('data', countBytes);
        socket.off('close', forget);
      });
      if (observed.size > maxConnections) {
        const [oldest] = observed.keys();
        drop(oldest!, 'too_many_connections');
      }
    },
    release,
  };
}
