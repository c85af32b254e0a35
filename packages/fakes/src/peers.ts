/** Connections between fake entry hosts, with generations as real ones. */

import type {Event, HostId, PeerMessage} from '@lacewingroad/core';
import type {FakeNetwork, NetNode, Pipe, PipeEnd} from './network.js';
import type {FakeProcess} from './process.js';

/** Silence after which a connection ends, in milliseconds. */
const SILENCE_MS = 1_000;
/** Time for connecting, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;

/** What a host's peers need of it. */
export interface PeerHost {
  readonly node: NetNode;
  readonly incarnation: string;
  readonly process: FakeProcess;
  readonly push: (event: Event) => void;
  readonly knowsAddress: (host: HostId) => boolean;
}

/** The connections of one host. */
export interface FakePeers {
  readonly host: PeerHost;
  readonly send: (host: HostId, msg: PeerMessage) => void;
  /** Takes over a connection that another host opened. */
  readonly accept: (from: PeerHost, link: Link) => void;
  /** Takes a message that arrived on a connection. */
  readonly receive: (from: HostId, link: Link, msg: PeerMessage) => void;
  /** Ends all connections at once, as the end of the process does. */
  readonly closeAll: () => void;
  /** Connections, for the check of silence. */
  readonly checkSilence: () => void;
}

/** Finds a running host's connections; null when it is not listening. */
export type FindPeers = (host: HostId) => FakePeers | null;

/** One connection seen from one end. */
interface Link {
  readonly pipe: Pipe;
  readonly end: 0 | 1;
  /** The other host's process, to deliver to. */
  readonly other: PeerHost;
  readonly deliver: (msg: PeerMessage) => void;
}

type Side = 'own' | 'accepted';

/** All connections to one host; they form one generation. */
interface Peer {
  generation: number;
  readonly links: Map<Side, Link>;
  isConnecting: boolean;
  waiting: PeerMessage[];
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
  /** Ends of connections on which no hello came back yet. */
  const attempts = new Set<PipeEnd>();

  const readPeer = (id: HostId): Peer => {
    let peer = peers.get(id);
    if (peer === undefined) {
      peer = {
        generation: 0,
        links: new Map(),
        isConnecting: false,
        waiting: [],
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

  /** Ends the generation; connections that are left form the next one. */
  const endGeneration = (id: HostId, peer: Peer): void => {
    push({type: 'peer_down', host: id, generation: peer.generation});
    if (peer.links.size > 0) {
      beginGeneration(id, peer);
    }
  };

  /** Reports that messages were dropped before they were sent. */
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

  const lose = (id: HostId, link: Link): void => {
    const peer = readPeer(id);
    const side = [...peer.links].find(([, other]) => other === link)?.[0];
    if (side !== undefined) {
      peer.links.delete(side);
      endGeneration(id, peer);
    }
  };

  /** Ends connections that a new one shows to be over. */
  const endReplaced = (peer: Peer, side: Side, link: Link): boolean => {
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

  /** Takes note that both sides of a connection said hello. */
  const take = (id: HostId, side: Side, link: Link): void => {
    const peer = readPeer(id);
    const wasUp = peer.links.size > 0;
    const hasReplaced = endReplaced(peer, side, link);
    link.pipe.ends[link.end].onClosed = () =>
      process.receive(() => lose(id, link));
    peer.links.set(side, link);
    peer.backoffMs = 0;
    peer.nextAttemptAt = 0;
    if (hasReplaced) {
      endGeneration(id, peer);
    } else if (!wasUp) {
      beginGeneration(id, peer);
    }
    const {waiting} = peer;
    peer.waiting = [];
    waiting.forEach(msg => link.deliver(msg));
  };

  const receive = (id: HostId, link: Link, msg: PeerMessage): void => {
    const peer = readPeer(id);
    if ([...peer.links.values()].includes(link)) {
      const {generation} = peer;
      push({type: 'peer_message', host: id, generation, msg});
    }
  };

  const fail = (id: HostId): void => {
    const peer = readPeer(id);
    peer.isConnecting = false;
    peer.waiting = [];
    if (peer.links.size === 0) {
      reportDown(id, peer);
    }
  };

  /** Builds both ends of a connection that this host opened. */
  const createLinks = (pipe: Pipe, to: FakePeers): readonly [Link, Link] => {
    const self = host.node.id;
    const mine: Link = {
      pipe,
      end: 0,
      other: to.host,
      deliver: msg =>
        pipe.ends[0].send(() =>
          to.host.process.receive(() => to.receive(self, theirs, msg)),
        ),
    };
    const theirs: Link = {
      pipe,
      end: 1,
      other: host,
      deliver: msg =>
        pipe.ends[1].send(() =>
          process.receive(() => receive(to.host.node.id, mine, msg)),
        ),
    };
    return [mine, theirs];
  };

  const connect = (id: HostId, peer: Peer): void => {
    const node = findNode(id);
    if (node === null || network.pathState(host.node, node) === 'cut') {
      process.at(runtime.now(), () => fail(id));
      return;
    }
    const pipe = network.openPipe(host.node, node);
    const [opener, accepter] = pipe.ends;
    attempts.add(opener);
    let isDecided = false;
    const decide = (fn: () => void): void => {
      if (!isDecided) {
        isDecided = true;
        attempts.delete(opener);
        cancel();
        fn();
      }
    };
    const cancel = process.at(runtime.now() + CONNECT_TIMEOUT_MS, () =>
      decide(() => {
        opener.close();
        fail(id);
      }),
    );
    opener.onClosed = () => process.receive(() => decide(() => fail(id)));
    opener.send(() => {
      const found = findPeers(id);
      if (found === null) {
        accepter.close();
        return;
      }
      found.host.process.receive(() => {
        if (!accepter.isOpen()) {
          return;
        }
        const [mine, theirs] = createLinks(pipe, found);
        accepter.send(() =>
          process.receive(() =>
            decide(() => {
              if (opener.isOpen()) {
                peer.isConnecting = false;
                take(id, 'own', mine);
              } else {
                fail(id);
              }
            }),
          ),
        );
        found.accept(host, theirs);
      });
    });
  };

  const closeLink = (id: HostId, link: Link): void => {
    link.pipe.ends[link.end].close();
    lose(id, link);
  };

  return {
    host,
    send: (id, msg) => {
      const peer = readPeer(id);
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
      peer.waiting.push(msg);
    },
    accept: (from, link) => {
      take(from.node.id, 'accepted', link);
    },
    receive,
    closeAll: () => {
      attempts.forEach(end => end.close());
      peers.forEach(({links}) =>
        links.forEach(link => link.pipe.ends[link.end].close()),
      );
    },
    checkSilence: () => {
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
