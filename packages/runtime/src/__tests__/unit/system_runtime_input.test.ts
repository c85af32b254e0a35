/** Input that arrived while the process was busy. */

import {spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {expect, it} from 'vitest';
import {callAfterInput} from '../../system_runtime.js';

// A connection that waited to be accepted was closed before it was read.
it('calls back once new connections were accepted and read', async () => {
  let received = '';
  const server = createServer(socket => {
    socket.on('data', data => {
      received += data.toString();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  // The event loop of this process is blocked until the child has ended.
  spawnSync(process.execPath, [
    '-e',
    `const s = require('net').connect(${port}, '127.0.0.1', () => s.end('x', () => process.exit()))`,
  ]);
  await new Promise<void>(callAfterInput);
  expect(received).toBe('x');
  server.close();
});
