/** Picks free ports that must be known before a process starts. */

import {createServer} from 'node:net';
import type {HostPort} from '../http.js';

/** The range lies below the ephemeral ports of outgoing connections. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
const PORTS_PER_PROCESS = 97;

let nextOffset = process.pid * PORTS_PER_PROCESS;

function isFree(address: HostPort): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(address.port, address.host, () =>
      server.close(() => resolve(true)),
    );
  });
}

/** Finds a free port on an address. */
export async function pickPort(host: string): Promise<HostPort> {
  for (let tries = 0; tries < PORT_COUNT; tries += 1) {
    nextOffset += 1;
    const port = FIRST_PORT + (nextOffset % PORT_COUNT);
    if (await isFree({host, port})) {
      return {host, port};
    }
  }
  throw new Error(
    `no free port on ${host}: stop processes left over from earlier runs`,
  );
}
