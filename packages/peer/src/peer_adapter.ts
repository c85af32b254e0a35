/** The adapter between the decision library and the other entry hosts. */

import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {Subject} from 'rxjs';
import type {Observable} from 'rxjs';
import {WebSocket, WebSocketServer} from 'ws';
import type {HostId, PeerMessage} from '@lacewingroad/core';
import {waitUntil} from '@lacewingroad/runtime';
import type {Runtime, Unregister} from '@lacewingroad/runtime';
import type {HelloFrame} from './frames.js';
import {createLink, DEFAULT_IDLE_HEARTBEATS} from './link.js';
import type {HybridClock, IdleHeartbeats, Link, LinkConfig} from './link.js';
import {
  CHECK_INTERVAL_MS,
  CLOSE_TIMEOUT_MS,
  MAX_ACCEPTED_CONNECTIONS,
  MAX_FRAME_BYTES,
  RECEIVE_TIMEOUT_MS,
  MAX_CONNECTIONS_BEFORE_HELLO,
} from './limits.js';
import {createNewConnections} from './new_connections.js';
import type {NewConnections} from './new_connections.js';
import {createPeer} from './peer.js';
import type {LinkSide, Peer} from './peer.js';
import type {PeerEvent, TypedMessage} from './typed_message.js';

/** HTTP status for a request without a WebSocket upgrade. */
const UPGRADE_REQUIRED_STATUS = 426;
/** Interval at which `close` checks whether all links ended, in milliseconds. */
const CLOSE_POLL_MS = 10;

/** Configuration of a peer adapter. */
export interface PeerAdapterConfig {
  readonly runtime: Runtime;
  readonly hlc: HybridClock;
  readonly host: HostId;
  /** Unique to each start of the process. */
  readonly incarnation: string;
  /** IP address to listen on and to bind outgoing connections to. */
  readonly sourceAddress: string;
  /** Port to listen on; 0 for any free port. */
  readonly listenPort: number;
  /** Returns the `IP:PORT` of a host's peer listener, or null if unknown. */
  readonly resolveAddress: (host: HostId) => string | null;
  /** Heartbeats of idle connections; a default applies without it. */
  readonly heartbeats?: IdleHeartbeats;
  /** Called when an accepted connection is closed before its hello. */
  readonly onDropped?: (reason: string) => void;
  /** Accepted connections that may be without a hello at once. */
  readonly maxNewConnections?: number;
}

/** Sends messages to other entry hosts and receives theirs. */
export interface PeerAdapter<M extends TypedMessage = PeerMessage> {
  /** Connection changes and received messages; hot, completes on close. */
  readonly events$: Observable<PeerEvent<M>>;
  readonly performers: {
    /** Sends a message to a host; opens a connection if there is none. */
    readonly send: (action: {
      readonly type: 'send';
      readonly host: HostId;
      readonly msg: M;
    }) => void;
  };
  /** Closes all sockets and timers; resolves once they are closed. */
  readonly close: () => Promise<void>;
  /** Starts to listen; resolves to the port, rejects if it is in use. */
  readonly listen: () => Promise<number>;
}

/** The callbacks that the adapter supplies for a link. */
type LinkHandlers = Pick<
  LinkConfig,
  'isOpener' | 'onHello' | 'onMessages' | 'onClosed'
>;

/** Creates the adapter; it listens once `listen` is called. */
export function createPeerAdapter<M extends TypedMessage = PeerMessage>(
  cfg: PeerAdapterConfig,
): PeerAdapter<M> {
  const {runtime, hlc} = cfg;
  const events = new Subject<PeerEvent<M>>();
  const peers = new Map<HostId, Peer>();
  const links = new Set<Link>();
  let server: Server | null = null;
  let isClosing = false;

  const createHello = (): HelloFrame => ({
    type: 'hello',
    host: cfg.host,
    incarnation: cfg.incarnation,
    stamp: hlc.tick(),
  });

  const addLink = (socket: WebSocket, handlers: LinkHandlers): Link => {
    const link = createLink({
      runtime,
      hlc,
      socket,
      createHello,
      heartbeats: cfg.heartbeats ?? DEFAULT_IDLE_HEARTBEATS,
      ...handlers,
      onClosed: closed => {
        links.delete(closed);
        handlers.onClosed(closed);
      },
    });
    links.add(link);
    return link;
  };

  const connect = (host: HostId): Link | null => {
    const address = isClosing ? null : cfg.resolveAddress(host);
    if (address === null) {
      return null;
    }
    const socket = openSocket(address);
    if (socket === null) {
      return null;
    }
    const peer = findPeer(host);
    return addLink(socket, {
      isOpener: true,
      onHello: (link, hello) => {
        if (hello.host !== host) {
          return false;
        }
        peer.open('own', link, hello.incarnation);
        return true;
      },
      onMessages: peer.receive,
      onClosed: peer.handleClosed,
    });
  };

  /** Returns null if the address cannot be used: the constructor throws. */
  const openSocket = (address: string): WebSocket | null => {
    try {
      return new WebSocket(`ws://${address}`, {
        localAddress: cfg.sourceAddress,
        perMessageDeflate: false,
        maxPayload: MAX_FRAME_BYTES,
      });
    } catch {
      return null;
    }
  };

  const newConnections = createNewConnections(
    runtime,
    cfg.maxNewConnections ?? MAX_CONNECTIONS_BEFORE_HELLO,
    reason => cfg.onDropped?.(reason),
  );

  const accept = (socket: WebSocket, tcpSocket: Socket): void => {
    let peer: Peer | null = null;
    const side: LinkSide = 'accepted';
    addLink(socket, {
      isOpener: false,
      onHello: (link, hello) => {
        if (isClosing || hello.host === cfg.host) {
          return false;
        }
        newConnections.release(tcpSocket);
        peer = findPeer(hello.host);
        peer.open(side, link, hello.incarnation);
        return true;
      },
      onMessages: (link, msgs) => peer?.receive(link, msgs),
      onClosed: link => peer?.handleClosed(link),
    });
  };

  const findPeer = (host: HostId): Peer => {
    const known = peers.get(host);
    if (known !== undefined) {
      return known;
    }
    const peer = createPeer({
      runtime,
      host,
      // Both sides of a link use the same set of messages.
      emit: event => events.next(event as PeerEvent<M>),
      connect: () => connect(host),
    });
    peers.set(host, peer);
    return peer;
  };

  const unregisterCheck = startLinkChecks(runtime, links);

  return {
    events$: events.asObservable(),
    performers: {
      send: ({host, msg}) => findPeer(host).send(msg),
    },
    listen: async () => {
      server = createPeerServer(accept, newConnections);
      server.listen(cfg.listenPort, cfg.sourceAddress);
      await once(server, 'listening');
      // An error while accepting a connection must not stop the listener.
      server.on('error', () => undefined);
      return (server.address() as AddressInfo).port;
    },
    close: async () => {
      isClosing = true;
      unregisterCheck();
      await closeLinks(runtime, links);
      events.complete();
      await closeServer(server);
    },
  };
}

/** Checks all links periodically; returns a function that stops the checks. */
function startLinkChecks(
  runtime: Runtime,
  links: ReadonlySet<Link>,
): Unregister {
  let dueAt = runtime.now() + CHECK_INTERVAL_MS;
  let unregister: Unregister = () => undefined;
  const check = (): void => {
    const now = runtime.now();
    // After a pause, data that arrived during it has not been read yet.
    const wasPaused = now - dueAt > RECEIVE_TIMEOUT_MS / 2;
    for (const link of [...links]) {
      if (wasPaused) {
        link.resetReceiveTimeout(now);
      }
      link.check(now);
    }
    dueAt = now + CHECK_INTERVAL_MS;
    unregister = runtime.at(dueAt, check);
  };
  unregister = runtime.at(dueAt, check);
  return () => unregister();
}

/** Closes links gracefully; terminates those still open at the timeout. */
async function closeLinks(
  runtime: Runtime,
  links: ReadonlySet<Link>,
): Promise<void> {
  const deadline = runtime.now() + CLOSE_TIMEOUT_MS;
  [...links].forEach(link => link.close());
  while (links.size > 0 && runtime.now() < deadline) {
    await waitUntil(runtime, runtime.now() + CLOSE_POLL_MS);
  }
  [...links].forEach(link => link.terminate());
}

/** Creates the server to which other hosts connect. */
function createPeerServer(
  accept: (socket: WebSocket, tcpSocket: Socket) => void,
  newConnections: NewConnections,
): Server {
  const server = createServer((_req, res) => {
    res.writeHead(UPGRADE_REQUIRED_STATUS).end();
  });
  server.maxConnections = MAX_ACCEPTED_CONNECTIONS;
  server.on('connection', newConnections.add);
  const webSocketServer = new WebSocketServer({
    server,
    perMessageDeflate: false,
    maxPayload: MAX_FRAME_BYTES,
  });
  webSocketServer.on('connection', (socket, {socket: tcpSocket}) =>
    accept(socket, tcpSocket),
  );
  return server;
}

/** Stops listening and closes connections that were never upgraded. */
function closeServer(server: Server | null): Promise<void> {
  if (server === null) {
    return Promise.resolve();
  }
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
