/** Tests how the fault proxy propagates a close after it has discarded data. */

import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createSystemRuntime} from '@lacewingroad/runtime';
import {startFault} from '../../fault/fault.js';
import type {FaultEffect} from '../../fault/rules.js';
import {formatHostPort, parseHostPort} from '../../http.js';
import type {Standin} from '../../platform/platform.js';

const LINK = 'server';

let server: Server;
let proxy: Standin;
let client: Socket;
let serverSocket: Socket;
let isClientClosed: boolean;

/**
 * Reads the proxy's state; by then it has processed all data it received
 * before.
 */
function readState(): Promise<Response> {
  return fetch(`http://${formatHostPort(proxy.control)}/control/state`);
}

async function setEffects(...effects: readonly FaultEffect[]): Promise<void> {
  const rules = effects.map(effect => ({from: '*', link: LINK, effect}));
  const url = `http://${formatHostPort(proxy.control)}/control/rules`;
  const res = await fetch(url, {method: 'PUT', body: JSON.stringify(rules)});
  expect(res.status).toBe(200);
}

beforeEach(async () => {
  server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  proxy = await startFault(
    {
      control: {host: '127.0.0.1', port: 0},
      links: [{name: LINK, listen: '127.0.0.1:0', target: `127.0.0.1:${port}`}],
    },
    createSystemRuntime(),
  );
  const state = await readState();
  const {links} = (await state.json()) as {links: {address: string}[]};
  const address = parseHostPort(links[0]!.address);
  const connected = once(server, 'connection');
  client = connect(address.port, address.host);
  isClientClosed = false;
  client.on('error', () => undefined);
  client.on('close', () => {
    isClientClosed = true;
  });
  client.resume();
  [serverSocket] = (await connected) as [Socket];
  serverSocket.on('error', () => undefined);
});

afterEach(async () => {
  client.destroy();
  serverSocket.destroy();
  server.close();
  await proxy.close();
});

/**
 * Lets the server send data and end the connection while its data is discarded.
 */
async function endServerWhileDiscarding(): Promise<void> {
  await setEffects({type: 'drop_down'});
  serverSocket.write('answer');
  serverSocket.end();
  await once(serverSocket, 'finish');
}

describe('a connection that ends after its data was discarded', () => {
  it('is closed on the client side once the rule is removed', async () => {
    await endServerWhileDiscarding();
    await setEffects();
    await vi.waitFor(() => expect(isClientClosed).toBe(true), {timeout: 5_000});
  });

  it('is closed on the client side when the server ends it after the rule was removed', async () => {
    await setEffects({type: 'drop_down'});
    serverSocket.write('answer');
    await vi.waitFor(() =>
      expect(serverSocket.bytesWritten).toBeGreaterThan(0),
    );
    await readState();
    await setEffects();
    serverSocket.end();
    await vi.waitFor(() => expect(isClientClosed).toBe(true), {timeout: 5_000});
  });

  it('is closed on the server side once the rule is removed, and not before', async () => {
    await setEffects({type: 'drop_up'});
    client.write('question');
    client.end();
    await once(client, 'finish');
    await readState();
    expect(serverSocket.closed || serverSocket.readableEnded).toBe(false);
    // The proxy resets the connection; `once` would reject on the error event.
    const closed = new Promise(resolve => serverSocket.on('close', resolve));
    serverSocket.resume();
    await setEffects();
    await closed;
  });

  it('stays open on the client side if it was forgotten', async () => {
    await setEffects({type: 'forget'});
    serverSocket.write('answer');
    serverSocket.end();
    await setEffects();
    await readState();
    expect(isClientClosed).toBe(false);
  });
});
