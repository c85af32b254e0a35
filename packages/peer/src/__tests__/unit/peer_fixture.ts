import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import type {Event, EventOf, PeerMessage} from '@lacewingroad/core';
import {createSystemRuntime, waitUntil} from '@lacewingroad/runtime';
import {createPeerAdapter} from '@lacewingroad/peer';
import type {PeerAdapter} from '@lacewingroad/peer';

export const runtime = createSystemRuntime();
const STAMP = '0000000000001.000000';
const WAIT_TIMEOUT_MS = 20_000;
const POLL_MS = 5;

/** An adapter under test, its port and the events it emitted. */
export interface TestPeer {
  readonly adapter: PeerAdapter;
  readonly port: number;
  readonly events: Event[];
}

/** Peer addresses of the hosts in one test, by host name. */
export type Addresses = Map<string, string>;

/** Waits until `condition` holds; throws after a timeout. */
export async function waitFor(condition: () => boolean): Promise<void> {
  const deadline = runtime.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (runtime.now() > deadline) {
      throw new Error(`Timed out waiting for: ${condition.toString()}`);
    }
    await waitUntil(runtime, runtime.now() + POLL_MS);
  }
}

/** Starts an adapter that listens on 127.0.0.1. */
export async function startPeer(
  host: string,
  addresses: Addresses,
  incarnation = `${host}-1`,
): Promise<TestPeer> {
  const events: Event[] = [];
  const adapter = createPeerAdapter({
    runtime,
    hlc: {tick: () => STAMP, receive: () => undefined},
    host,
    incarnation,
    sourceAddress: '127.0.0.1',
    listenPort: 0,
    resolveAddress: other => addresses.get(other) ?? null,
  });
  adapter.events$.subscribe(event => events.push(event));
  const port = await adapter.listen();
  addresses.set(host, `127.0.0.1:${port}`);
  return {adapter, port, events};
}

/** Returns the events of one type. */
export function eventsOf<T extends Event['type']>(
  peer: TestPeer,
  type: T,
): EventOf<T>[] {
  return peer.events.filter(
    (event): event is EventOf<T> => event.type === type,
  );
}

/** Creates a small message identified by `ask`. */
export function createMessage(ask: number): PeerMessage {
  return {type: 'session_stored', ask};
}

/** Returns the `ask` numbers of the messages that a peer received. */
export function receivedAsks(peer: TestPeer): number[] {
  return eventsOf(peer, 'peer_message').map(
    ({msg}) => (msg as {ask: number}).ask,
  );
}

/** A TCP relay that can drop all data while its connections stay open. */
export interface TcpRelay {
  readonly port: number;
  isSilent: boolean;
  readonly close: () => void;
}

/** Starts a relay to a port of 127.0.0.1. */
export async function startTcpRelay(targetPort: number): Promise<TcpRelay> {
  const sockets = new Set<Socket>();
  const forward = (from: Socket, to: Socket): void => {
    sockets.add(from);
    from.on('data', data => {
      if (!relay.isSilent) {
        to.write(data);
      }
    });
    from.on('close', () => to.destroy());
    from.on('error', () => to.destroy());
  };
  const server = createServer(client => {
    const upstream = connect(targetPort, '127.0.0.1');
    forward(client, upstream);
    forward(upstream, client);
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const relay: TcpRelay = {
    port: (server.address() as AddressInfo).port,
    isSilent: false,
    close: () => {
      server.close();
      sockets.forEach(socket => socket.destroy());
    },
  };
  return relay;
}
