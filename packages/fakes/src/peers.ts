/** Connections between simulated entry hosts, with generations. */

import type {Event, HostId, PeerMessage} from '@lacewingroad/core';
import type {FakeNetwork, NetNode, Pipe, PipeEnd} from './network.js';
import type {FakeProcess} from './process.js';

/** Time after which a silent connection is closed, in milliseconds. */
const SILENCE_MS = 1_000;
/** Timeout of a connection attempt, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;

/** The host that owns the connections. */
export interface PeerHost {
  readonly node: NetNode;
  readonly incarnation: string;
  readonly process: FakeProcess;
  readonly push: (event: Event) => void;
  readonly knowsAddress: (host: HostId) => boolean;
}

/** The peer connections of one host process. */
export interface FakePeers {
  readonly host: PeerHost;
  readonly send: (host: HostId, msg: PeerMessage) => void;
  /** Accepts a connection that another host opened. */
  readonly accept: (from: PeerHost, link: Link) => void;
  /** Handles a message that arrived on a connection. */
  readonly receive: (from: HostId, link: Link, msg: PeerMessage) => void;
  /** Closes all connections at once, as when the process exits. */
  readonly closeAll: () => void;
  /** Closes the connections that have been silent for too long. */
  readonly closeSilentLinks: () => void;
}

/** Returns a running host's connections, or null if it is not listening. */
export type FindPeers = (host: HostId) => FakePeers | null;

/** One end of a connection. */
interface Link {
  readonly pipe: Pipe;
  readonly end: 0 | 1;
  /** The host at the other end. */
  readonly other: PeerHost;
  readonly deliver: (msg: PeerMessage) => void;
}

type Side = 'own' | 'accepted';

/** All connections to one host; together they form one generation. */
interface Peer {
  generation: number;
  readonly links: Map<Side, Link>;
  isConnecting: boolean;
  pendingMessages: PeerMessage[];
  backoffMs: number;
  nextAttemptAt: number;
  isReportPending: boolean;
}

/** Creates a host's connections. */
export function createFakePeers(
  network: FakeNetwork,
  host: PeerHost,
  findPeers: FindPeers,
  findNode: (host: HostId) => NetNode | null,
): FakePeers {
  const {runtime} = network;
  const {process, push} = host;
  const peers = new Map<HostId, Peer>();
  /** Local ends of connections whose hello is not answered yet. */
  const connectingEnds = new Set<PipeEnd>();

  const getOrCreatePeer = (id: HostId): Peer => {
    let peer = peers.get(id);
    if (peer === undefined) {
      peer = {
        generation: 0,
        links: new Map(),
        isConnecting: false,
        pendingMessages: [],
        backoffMs: 0,
        nextAttemptAt: 0,
        isReportPending: false,
      };
      peers.set(id, peer);
    }
    return peer;
  };

  const beginGeneration = (id: HostId, peer: Peer): void => {
    peer.generation++;
    push({type: 'peer_up', host: id, generation: peer.generation});
  };

  /** Ends the generation; the remaining connections form the next one. */
  const endGeneration = (id: HostId, peer: Peer): void => {
    push({type: 'peer_down', host: id, generation: peer.generation});
    if (peer.links.size > 0) {
      beginGeneration(id, peer);
    }
  };

  /** Ends the generation because messages were dropped unsent. */
  const reportDown = (id: HostId, peer: Peer): void => {
    if (peer.links.size === 0) {
      peer.generation++;
    }
    endGeneration(id, peer);
  };

  const reportUnreachable = (id: HostId, peer: Peer): void => {
    if (peer.isReportPending) {
      return;
    }
    peer.isReportPending = true;
    process.at(runtime.now(), () => {
      peer.isReportPending = false;
      reportDown(id, peer);
    });
  };

  const removeLink = (id: HostId, link: Link): void => {
    const peer = getOrCreatePeer(id);
    const side = [...peer.links].find(([, other]) => other === link)?.[0];
    if (side !== undefined) {
      peer.links.delete(side);
      endGeneration(id, peer);
    }
  };

  /**
   * Closes links on the same side, and links to another incarnation. Returns
   * whether there were any.
   */
  const closeReplacedLinks = (peer: Peer, side: Side, link: Link): boolean => {
    const replaced = [...peer.links].filter(
      ([other, old]) =>
        other === side || old.other.incarnation !== link.other.incarnation,
    );
    replaced.forEach(([other, old]) => {
      peer.links.delete(other);
      old.pipe.ends[old.end].close();
    });
    return replaced.length > 0;
  };

  /** Adds a connection once both sides have exchanged hello messages. */
  const addLink = (id: HostId, side: Side, link: Link): void => {
    const peer = getOrCreatePeer(id);
    const wasUp = peer.links.size > 0;
    const hasReplaced = closeReplacedLinks(peer, side, link);
    link.pipe.ends[link.end].onClosed = () =>
      process.receive(() => removeLink(id, link));
    peer.links.set(side, link);
    peer.backoffMs = 0;
    peer.nextAttemptAt = 0;
    if (hasReplaced) {
      endGeneration(id, peer);
    } else if (!wasUp) {
      beginGeneration(id, peer);
    }
    const {pendingMessages} = peer;
    peer.pendingMessages = [];
    pendingMessages.forEach(msg => link.deliver(msg));
  };

  const receive = (id: HostId, link: Link, msg: PeerMessage): void => {
    const peer = getOrCreatePeer(id);
    if ([...peer.links.values()].includes(link)) {
      const {generation} = peer;
      push({type: 'peer_message', host: id, generation, msg});
    }
  };

  const handleConnectFailure = (id: HostId): void => {
    const peer = getOrCreatePeer(id);
    peer.isConnecting = false;
    peer.pendingMessages = [];
    if (peer.links.size === 0) {
      reportDown(id, peer);
    }
  };

  /** Creates both ends of a connection that this host opened. */
  const createLinks = (pipe: Pipe, to: FakePeers): readonly [Link, Link] => {
    const self = host.node.id;
    const localLink: Link = {
      pipe,
      end: 0,
      other: to.host,
      deliver: msg =>
        pipe.ends[0].send(() =>
          to.host.process.receive(() => to.receive(self, remoteLink, msg)),
        ),
    };
    const remoteLink: Link = {
      pipe,
      end: 1,
      other: host,
      deliver: msg =>
        pipe.ends[1].send(() =>
          process.receive(() => receive(to.host.node.id, localLink, msg)),
        ),
    };
    return [localLink, remoteLink];
  };

  const connect = (id: HostId, peer: Peer): void => {
    const node = findNode(id);
    if (node === null || network.pathState(host.node, node) === 'cut') {
      process.at(runtime.now(), () => handleConnectFailure(id));
      return;
    }
    const pipe = network.openPipe(host.node, node);
    const [opener, accepter] = pipe.ends;
    connectingEnds.add(opener);
    let isSettled = false;
    const settle = (fn: () => void): void => {
      if (!isSettled) {
        isSettled = true;
        connectingEnds.delete(opener);
        cancel();
        fn();
      }
    };
    const cancel = process.at(runtime.now() + CONNECT_TIMEOUT_MS, () =>
      settle(() => {
        opener.close();
        handleConnectFailure(id);
      }),
    );
    opener.onClosed = () =>
      process.receive(() => settle(() => handleConnectFailure(id)));
    opener.send(() => {
      const remotePeers = findPeers(id);
      if (remotePeers === null) {
        accepter.close();
        return;
      }
      remotePeers.host.process.receive(() => {
        if (!accepter.isOpen()) {
          return;
        }
        const [localLink, remoteLink] = createLinks(pipe, remotePeers);
        accepter.send(() =>
          process.receive(() =>
            settle(() => {
              if (opener.isOpen()) {
                peer.isConnecting = false;
                addLink(id, 'own', localLink);
              } else {
                handleConnectFailure(id);
              }
            }),
          ),
        );
        remotePeers.accept(host, remoteLink);
      });
    });
  };

  const closeLink = (id: HostId, link: Link): void => {
    link.pipe.ends[link.end].close();
    removeLink(id, link);
  };

  return {
    host,
    send: (id, msg) => {
      const peer = getOrCreatePeer(id);
      const link = peer.links.get('own') ?? peer.links.get('accepted');
      if (link !== undefined) {
        link.deliver(msg);
        return;
      }
      if (!peer.isConnecting) {
        if (runtime.now() < peer.nextAttemptAt || !host.knowsAddress(id)) {
          reportUnreachable(id, peer);
          return;
        }
        peer.backoffMs = Math.min(
          MAX_BACKOFF_MS,
          Math.max(MIN_BACKOFF_MS, peer.backoffMs * 2),
        );
        peer.nextAttemptAt = runtime.now() + peer.backoffMs;
        peer.isConnecting = true;
        connect(id, peer);
      }
      peer.pendingMessages.push(msg);
    },
    accept: (from, link) => {
      addLink(from.node.id, 'accepted', link);
    },
    receive,
    closeAll: () => {
      connectingEnds.forEach(end => end.close());
      peers.forEach(({links}) =>
        links.forEach(link => link.pipe.ends[link.end].close()),
      );
    },
    closeSilentLinks: () => {
      const now = runtime.now();
      peers.forEach(({links}, id) =>
        [...links.values()].forEach(link => {
          const silentSince = link.pipe.silentSince(link.end) ?? now;
          const pausedAt = link.other.process.pausedAt() ?? now;
          if (now - Math.min(silentSince, pausedAt) >= SILENCE_MS) {
            closeLink(id, link);
          }
        }),
      );
    },
  };
}
