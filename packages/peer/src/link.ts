/** One connection between two entry hosts. */

import {WebSocket} from 'ws';
import type {RawData} from 'ws';
import type {Instant, Runtime, Unregister} from '@lacewingroad/runtime';
import {decodeFrame, encodeFrame} from './frames.js';
import type {Frame, HelloFrame} from './frames.js';
import type {TypedMessage} from './typed_message.js';
import {
  IDLE_AFTER_MS,
  CONNECT_TIMEOUT_MS,
  HEARTBEAT_MS,
  MAX_BATCH_MESSAGES,
  MAX_BUFFERED_BYTES,
  IDLE_HEARTBEAT_MS,
  RECEIVE_TIMEOUT_MS,
} from './limits.js';

/** Hybrid logical clock, whose stamps order the events of all hosts. */
export interface HybridClock {
  readonly tick: () => string;
  readonly receive: (stamp: string) => void;
}

/** When a connection counts as idle, and how often it is pinged then. */
export interface IdleHeartbeats {
  /** Time without messages after which a connection is idle, in ms. */
  readonly idleAfterMs: number;
  /** Interval between pings on an idle connection, in ms. */
  readonly intervalMs: number;
  /** Returns whether a message leaves an idle connection idle. */
  readonly isBackground: (msg: TypedMessage) => boolean;
}

/** Heartbeats of a link whose configuration sets none. */
export const DEFAULT_IDLE_HEARTBEATS: IdleHeartbeats = {
  idleAfterMs: IDLE_AFTER_MS,
  intervalMs: IDLE_HEARTBEAT_MS,
  isBackground: () => false,
};

/** Dependencies and callbacks of a link. */
export interface LinkConfig {
  readonly runtime: Runtime;
  readonly hlc: HybridClock;
  readonly socket: WebSocket;
  readonly heartbeats: IdleHeartbeats;
  /** Returns this host's hello frame. */
  readonly createHello: () => HelloFrame;
  /** Whether this side opened the connection; the opener sends its hello first. */
  readonly isOpener: boolean;
  /** Called once with the peer's hello; returning false closes the link. */
  readonly onHello: (link: Link, hello: HelloFrame) => boolean;
  readonly onMessages: (link: Link, msgs: readonly TypedMessage[]) => void;
  /** Called once, whichever side ended the connection. */
  readonly onClosed: (link: Link) => void;
}

/** One connection; frames that arrive after it ended are ignored. */
export interface Link {
  /** Sends in a batch with the other messages of this event loop turn. */
  readonly send: (msg: TypedMessage) => void;
  /** Returns the time at which data, a ping or a pong last arrived. */
  readonly getLastReceivedAt: () => Instant;
  /** Sends a ping if one is due; terminates the connection on a timeout. */
  readonly check: (now: Instant) => void;
  /** Restarts the receive timeout, for use after this process was paused. */
  readonly resetReceiveTimeout: (now: Instant) => void;
  /** Closes the connection at once. */
  readonly terminate: () => void;
  /** Sends the pending messages, then closes the connection. */
  readonly close: () => void;
}

/** Returns the bytes of a frame; `ws` passes a single Buffer by default. */
function toBuffer(data: RawData): Buffer {
  if (Buffer.isBuffer(data)) {
    return data;
  }
  return Array.isArray(data) ? Buffer.concat(data) : Buffer.from(data);
}

/** Creates a link that speaks the peer protocol on a socket. */
export function createLink(cfg: LinkConfig): Link {
  const {runtime, hlc, socket} = cfg;
  const {idleAfterMs, intervalMs, isBackground} = cfg.heartbeats;
  let lastReceivedAt = runtime.now();
  let lastPingAt = lastReceivedAt;
  /** When a message was last sent or received. */
  let lastMessageAt = lastReceivedAt;
  /** When the first message after an idle period was sent or received. */
  let activeSince = lastReceivedAt;
  let isReady = false;
  let isClosed = false;
  let outgoing: TypedMessage[] = [];

  const write = (frame: Frame): void => {
    if (socket.readyState === WebSocket.OPEN) {
      socket.send(encodeFrame(frame));
    }
  };

  const isIdle = (now: Instant): boolean => now - lastMessageAt >= idleAfterMs;

  const recordMessageTime = (msgs: readonly TypedMessage[]): void => {
    if (msgs.every(isBackground)) {
      return;
    }
    const now = runtime.now();
    activeSince = isIdle(now) ? now : activeSince;
    lastMessageAt = now;
  };

  const flush = (): void => {
    if (isClosed || outgoing.length === 0) {
      return;
    }
    const msgs = outgoing;
    outgoing = [];
    recordMessageTime(msgs);
    const stamp = hlc.tick();
    for (let from = 0; from < msgs.length; from += MAX_BATCH_MESSAGES) {
      const batch = msgs.slice(from, from + MAX_BATCH_MESSAGES);
      write({type: 'batch', stamp, msgs: batch});
    }
    if (socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      terminate();
    }
  };

  const handleClose = (): void => {
    if (isClosed) {
      return;
    }
    isClosed = true;
    outgoing = [];
    unregisterTimeout();
    cfg.onClosed(link);
  };

  const terminate = (): void => {
    socket.terminate();
    handleClose();
  };

  const handleHello = (frame: Frame): boolean => {
    if (frame.type !== 'hello') {
      return false;
    }
    isReady = true;
    unregisterTimeout();
    const isAccepted = cfg.onHello(link, frame);
    if (isAccepted && !cfg.isOpener) {
      // Precedes all messages, which are flushed at the end of this turn.
      write(cfg.createHello());
    }
    return isAccepted;
  };

  const handleBatch = (frame: Frame): boolean => {
    if (frame.type !== 'batch') {
      return false;
    }
    recordMessageTime(frame.msgs);
    cfg.onMessages(link, frame.msgs);
    return true;
  };

  const handleData = (data: RawData, isBinary: boolean): void => {
    if (isClosed) {
      return;
    }
    lastReceivedAt = runtime.now();
    const frame = isBinary ? decodeFrame(toBuffer(data)) : null;
    if (frame === null) {
      terminate();
      return;
    }
    hlc.receive(frame.stamp);
    const isAccepted = isReady ? handleBatch(frame) : handleHello(frame);
    if (!isAccepted) {
      terminate();
    }
  };

  const recordReceived = (): void => {
    lastReceivedAt = runtime.now();
  };

  const link: Link = {
    send: msg => {
      outgoing.push(msg);
      if (outgoing.length === 1) {
        queueMicrotask(flush);
      }
    },
    getLastReceivedAt: () => lastReceivedAt,
    check: now => {
      if (!isReady || isClosed) {
        return;
      }
      const heartbeatMs = isIdle(now) ? intervalMs : HEARTBEAT_MS;
      const timeoutMs = isIdle(now)
        ? intervalMs + RECEIVE_TIMEOUT_MS
        : RECEIVE_TIMEOUT_MS;
      if (now - Math.max(lastReceivedAt, activeSince) >= timeoutMs) {
        terminate();
        return;
      }
      const lastSignalAt = Math.max(lastReceivedAt, lastPingAt);
      const isOpen = socket.readyState === WebSocket.OPEN;
      if (isOpen && now - lastSignalAt >= heartbeatMs) {
        lastPingAt = now;
        socket.ping();
      }
    },
    resetReceiveTimeout: now => {
      lastReceivedAt = now;
    },
    terminate,
    close: () => {
      flush();
      socket.close();
    },
  };

  const unregisterTimeout: Unregister = runtime.at(
    runtime.now() + CONNECT_TIMEOUT_MS,
    terminate,
  );
  socket.on('open', () => write(cfg.createHello()));
  socket.on('message', handleData);
  socket.on('ping', recordReceived);
  socket.on('pong', recordReceived);
  socket.on('close', handleClose);
  // An error affects this connection only.
  socket.on('error', terminate);
  return link;
}
