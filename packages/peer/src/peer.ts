/** All connections between this host and one other host. */

import type {HostId} from '@lacewingroad/core';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {Link} from './link.js';
import type {PeerEvent, TypedMessage} from './typed_message.js';
import {
  MAX_BACKOFF_MS,
  MAX_WAITING_MESSAGES,
  MIN_BACKOFF_MS,
} from './limits.js';

/** Which side opened a connection: this host (`own`) or the other one. */
export type LinkSide = 'own' | 'accepted';

/** Dependencies of a peer. */
export interface PeerConfig {
  readonly runtime: Runtime;
  readonly host: HostId;
  readonly emit: (event: PeerEvent) => void;
  /** Starts to connect; returns null if the address is not known. */
  readonly connect: () => Link | null;
}

/** A connection on which the hello exchange is complete. */
interface OpenLink {
  readonly link: Link;
  readonly incarnation: string;
}

/**
 * The connections to one host. Together they form one generation, which ends as
 * soon as any of them ends. After `peer_down`, unanswered messages may be lost;
 * after `peer_up`, messages may arrive. When one connection ends, the others
 * are closed, too, so that the other side also gets `peer_down`: an answer may
 * have been lost on a connection that the other side had closed before.
 */
export interface Peer {
  /** Sends a message; opens a connection if there is none. */
  readonly send: (msg: TypedMessage) => void;
  /** Adds a connection whose hello exchange is complete. */
  readonly open: (side: LinkSide, link: Link, incarnation: string) => void;
  readonly receive: (link: Link, msgs: readonly TypedMessage[]) => void;
  /** Handles the end of a connection or of a connection attempt. */
  readonly handleClosed: (link: Link) => void;
}

/** Creates a peer for one other host, without opening a connection. */
export function createPeer(cfg: PeerConfig): Peer {
  const {runtime, host, emit} = cfg;
  const links = new Map<LinkSide, OpenLink>();
  let generation = 0;
  /** The connection attempt in progress, if any. */
  let attempt: Link | null = null;
  let queuedMessages: TypedMessage[] = [];
  let isReportPending = false;
  let backoffMs = 0;
  let nextAttemptAt: Instant = 0;

  const beginGeneration = (): void => {
    generation++;
    emit({type: 'peer_up', host, generation});
  };

  /** Ends the generation; any remaining connections form the next one. */
  const endGeneration = (): void => {
    emit({type: 'peer_down', host, generation});
    if (links.size > 0) {
      beginGeneration();
    }
  };

  /** Reports that messages were dropped before they were sent. */
  const reportDropped = (): void => {
    if (links.size === 0) {
      generation++;
    }
    endGeneration();
  };

  /** Reports once, after the current turn, that messages could not be sent. */
  const reportUnreachable = (): void => {
    if (isReportPending) {
      return;
    }
    isReportPending = true;
    queueMicrotask(() => {
      isReportPending = false;
      reportDropped();
    });
  };

  const raiseBackoff = (): void => {
    const raised = Math.max(MIN_BACKOFF_MS, backoffMs * 2);
    backoffMs = Math.min(MAX_BACKOFF_MS, raised);
    nextAttemptAt = runtime.now() + backoffMs;
  };

  const startAttempt = (): Link | null => {
    if (runtime.now() < nextAttemptAt) {
      return null;
    }
    const link = cfg.connect();
    if (link !== null) {
      raiseBackoff();
    }
    return link;
  };

  const enqueue = (msg: TypedMessage): void => {
    attempt ??= startAttempt();
    if (attempt === null) {
      reportUnreachable();
      return;
    }
    queuedMessages.push(msg);
    if (queuedMessages.length > MAX_WAITING_MESSAGES) {
      attempt.terminate();
    }
  };

  /** Terminates the connections that a new one replaces; returns true if any. */
  const terminateReplaced = (
    newSide: LinkSide,
    incarnation: string,
  ): boolean => {
    const replaced = [...links].filter(
      ([side, open]) => side === newSide || open.incarnation !== incarnation,
    );
    replaced.forEach(([side]) => links.delete(side));
    replaced.forEach(([, open]) => open.link.terminate());
    return replaced.length > 0;
  };

  /**
   * Returns the connection that received data most recently, or null if there
   * is none. The other one may be half-open, which takes time to detect.
   */
  const chooseLink = (): Link | null => {
    const own = links.get('own')?.link ?? null;
    const accepted = links.get('accepted')?.link ?? null;
    if (own === null || accepted === null) {
      return own ?? accepted;
    }
    return own.getLastReceivedAt() >= accepted.getLastReceivedAt()
      ? own
      : accepted;
  };

  const flushQueue = (link: Link): void => {
    const msgs = queuedMessages;
    queuedMessages = [];
    msgs.forEach(msg => link.send(msg));
  };

  return {
    send: msg => {
      const link = chooseLink();
      if (link === null) {
        enqueue(msg);
        return;
      }
      link.send(msg);
    },
    open: (side, link, incarnation) => {
      if (attempt === link) {
        attempt = null;
      }
      backoffMs = 0;
      nextAttemptAt = 0;
      const wasUp = links.size > 0;
      const hasReplacedLink = terminateReplaced(side, incarnation);
      links.set(side, {link, incarnation});
      if (hasReplacedLink) {
        endGeneration();
      } else if (!wasUp) {
        beginGeneration();
      }
      flushQueue(link);
    },
    receive: (link, msgs) => {
      const isKnown = [...links.values()].some(open => open.link === link);
      if (!isKnown) {
        return;
      }
      const current = generation;
      for (const msg of msgs) {
        emit({type: 'peer_message', host, generation: current, msg});
      }
    },
    handleClosed: link => {
      if (attempt === link) {
        attempt = null;
        queuedMessages = [];
        if (links.size === 0) {
          reportDropped();
        }
        return;
      }
      const ended = [...links].find(([, open]) => open.link === link);
      if (ended !== undefined) {
        const remaining = [...links.values()].filter(open => open !== ended[1]);
        links.clear();
        remaining.forEach(open => open.link.terminate());
        endGeneration();
      }
    },
  };
}
