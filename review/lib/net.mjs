/** Loopback sockets, lines and waits for the stand-ins. */

import {once} from 'node:events';
import {createServer} from 'node:net';

export const LOOPBACK = '127.0.0.1';

/** Resolves after `ms` milliseconds. */
export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until `isMet` returns true; returns false after `timeoutMs`. */
export async function waitFor(isMet, timeoutMs) {
  const deadline = performance.now() + timeoutMs;
  while (!isMet()) {
    if (performance.now() >= deadline) {
      return false;
    }
    await sleep(10);
  }
  return true;
}

/** Finds free ports by binding them briefly. */
export async function findFreePorts(count) {
  const servers = Array.from({length: count}, () => createServer());
  for (const server of servers) {
    server.listen(0, LOOPBACK);
    await once(server, 'listening');
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => {
      server.close();
      return once(server, 'close');
    }),
  );
  return ports;
}

/** Listens on a loopback port (0 for any free one); returns the port. */
export async function listen(server, port = 0) {
  server.listen(port, LOOPBACK);
  await once(server, 'listening');
  return server.address().port;
}

/** Calls `onLine` with each line of a socket, without its line end. */
export function readLines(socket, onLine) {
  let partial = '';
  socket.setEncoding('latin1');
  socket.setNoDelay(true);
  socket.on('error', () => undefined);
  socket.on('data', chunk => {
    const lines = (partial + chunk).split('\r\n');
    partial = lines.pop();
    lines.forEach(onLine);
  });
}

/** Splits a text at its first blank. */
export function splitFirst(text) {
  const end = text.indexOf(' ');
  return end < 0 ? [text, ''] : [text.slice(0, end), text.slice(end + 1)];
}
