/** The log on standard output, whose reader may be slow or stop reading. */

import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {pino} from 'pino';
import type {Runtime} from '@lacewingroad/runtime';

/** Maximum size of the buffer for a slow reader; further lines are dropped. */
const MAX_BUFFERED_LOG_BYTES = 8 * 1024 * 1024;
/** Time limit for writing out the buffer at exit, in milliseconds. */
const FLUSH_TIMEOUT_MS = 500;
const STDOUT_FD = 1;

/** A destination for log lines, each of which ends with a line break. */
export interface LogDestination {
  /** Writes a line; never blocks on the reader. */
  readonly write: (line: string) => void;
  /** Resolves once all lines are written, or after a timeout. */
  readonly flush: () => Promise<void>;
  /** Adds a listener that is called for each dropped line. */
  readonly onDrop?: (listener: () => void) => void;
}

/** Resolves when `start` calls back, or after the flush timeout. */
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
 * Writes to a pipe or socket. With a file stream, a reader that stops reading
 * would leave a write blocked in a thread, and the process could not exit.
 */
function createPipeDestination(runtime: Runtime): LogDestination {
  const socket = new Socket({fd: STDOUT_FD, readable: false, writable: true});
  const listeners: (() => void)[] = [];
  let isReaderGone = false;
  // The host keeps serving requests after the log's reader has exited.
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

/** Writes to a file or terminal, which has no reader that can stall. */
function createFileDestination(runtime: Runtime): LogDestination {
  const stream = pino.destination({
    fd: STDOUT_FD,
    sync: false,
    maxLength: MAX_BUFFERED_LOG_BYTES,
  });
  const listeners: (() => void)[] = [];
  stream.on('drop', () => listeners.forEach(listener => listener()));
  // When the disk is full, lines are dropped and the host keeps serving.
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

/** Creates the destination for the standard output of this process. */
export function createStdoutDestination(runtime: Runtime): LogDestination {
  const stat = fstatSync(STDOUT_FD);
  return stat.isFIFO() || stat.isSocket()
    ? createPipeDestination(runtime)
    : createFileDestination(runtime);
}
