/** The log on standard output; its reader may be slow, or stop reading. */

import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {pino} from 'pino';
import type {Runtime} from '@lacewingroad/runtime';

/** Log bytes that wait for a slow reader; lines beyond are dropped. */
const MAX_BUFFERED_LOG_BYTES = 8 * 1024 * 1024;
/** Time for writing out what waits when a process ends, in milliseconds. */
const FLUSH_TIMEOUT_MS = 500;
const STDOUT_FD = 1;

/** Where log lines go; each has a line break at its end. */
export interface LogDestination {
  /** Takes a line without ever waiting for the reader. */
  readonly write: (line: string) => void;
  /** Resolves once all is written, or the reader had time to read it. */
  readonly flush: () => Promise<void>;
  /** Calls the listener for each line that is dropped. */
  readonly onDrop?: (listener: () => void) => void;
}

/** Resolves when `start` calls back, or after the time to flush. */
function flushWithin(
  runtime: Runtime,
  start: (done: () => void) => void,
): Promise<void> {
  return new Promise(resolve => {
    const unregister = runtime.at(runtime.now() + FLUSH_TIMEOUT_MS, resolve);
    start(() => {
      unregister();
      resolve();
    });
  });
}

/**
 * Writes to a pipe or socket. A file stream would leave a blocked write in a
 * thread while the reader stands still, and the process could not exit.
 */
function createPipeDestination(runtime: Runtime): LogDestination {
  const socket = new Socket({fd: STDOUT_FD, readable: false, writable: true});
  const listeners: (() => void)[] = [];
  let isReaderGone = false;
  // Serving goes on when nobody reads the log any more.
  socket.on('error', () => {
    isReaderGone = true;
  });
  return {
    write: line => {
      const isFull = socket.writableLength > MAX_BUFFERED_LOG_BYTES;
      if (isFull || isReaderGone) {
        listeners.forEach(listener => listener());
        return;
      }
      socket.write(line);
    },
    flush: () =>
      flushWithin(runtime, done => {
        if (isReaderGone || socket.writableLength === 0) {
          done();
          return;
        }
        socket.once('drain', done);
        socket.write('', () => done());
      }),
    onDrop: listener => {
      listeners.push(listener);
    },
  };
}

/** Writes to a file or terminal, which take what they are given. */
function createFileDestination(runtime: Runtime): LogDestination {
  const stream = pino.destination({
    fd: STDOUT_FD,
    sync: false,
    maxLength: MAX_BUFFERED_LOG_BYTES,
  });
  const listeners: (() => void)[] = [];
  stream.on('drop', () => listeners.forEach(listener => listener()));
  // A full disk costs lines, not service; they count as dropped.
  stream.on('error', () => listeners.forEach(listener => listener()));
  return {
    write: line => {
      stream.write(line);
    },
    flush: () => flushWithin(runtime, done => stream.flush(() => done())),
    onDrop: listener => {
      listeners.push(listener);
    },
  };
}

/** Returns the destination on the standard output of this process. */
export function createStdoutDestination(runtime: Runtime): LogDestination {
  const stat = fstatSync(STDOUT_FD);
  return stat.isFIFO() || stat.isSocket()
    ? createPipeDestination(runtime)
    : createFileDestination(runtime);
}
