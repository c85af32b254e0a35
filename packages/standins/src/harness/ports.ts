/** Picks ports for processes that must know them before they start. */

import {createServer} from 'node:net';
import type {HostPort} from '../http.js';

/** Below the range from which outgoing connections take theirs. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
const PORTS_PER_PROCESS = 97;

let nextOffset = process.pid * PORTS_PER_PROCESS;

function isFree(at: HostPort): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(at.port, at.host, () => server.close(() => resolve(true)));
  });
}

/** Finds a port that nobody listens on at an address. */
export async function pickPort(host: string): Promise<HostPort> {
  for (let tries = 0; tries < PORT_COUNT; tries += 1) {
    nextOffset += 1;
    const port = FIRST_PORT + (nextOffset % PORT_COUNT);
    if (await isFree({host, port})) {
      return {host, port};
    }
  }
  throw new Error(`no free port at ${host}: end processes left behind`);
}
