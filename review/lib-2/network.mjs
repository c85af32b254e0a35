/**
 * The network between hosts, databases, store and control interface. Each path
 * leads through a proxy on loopback, and can be cut: open connections are reset
 * and new ones refused until it heals.
 *
 * Hosts tell each other at which address they listen. So that they connect to
 * the proxy of a host instead, the store replaces that address in what is
 * written, and the proxies between hosts replace it in what they pass on.
 */

import {once} from 'node:events';
import {connect, createServer} from 'node:net';

/** Bytes of the HTTP requests that open a connection between hosts. */
const HEADER_END = Buffer.from('\r\n\r\n');

/** Replaces all occurrences of a text by one of the same length. */
export function replaceBytes(data, replacements) {
  for (const [from, to] of replacements) {
    for (
      let at = data.indexOf(from, 0, 'latin1');
      at >= 0;
      at = data.indexOf(from, at + to.length, 'latin1')
    ) {
      data.write(to, at, 'latin1');
    }
  }
}

/** Applies the mask of a WebSocket frame in place. */
function mask(payload, key) {
  for (let at = 0; at < payload.length; at++) {
    payload[at] ^= key[at % 4];
  }
}

/** Returns the length of the first frame and where its parts lie, or null. */
function readFrame(data) {
  if (data.length < 2) {
    return null;
  }
  const isMasked = (data[1] & 0x80) !== 0;
  const short = data[1] & 0x7f;
  const lengthBytes = short === 126 ? 2 : short === 127 ? 8 : 0;
  const start = 2 + lengthBytes + (isMasked ? 4 : 0);
  if (data.length < start) {
    return null;
  }
  const length =
    lengthBytes === 2
      ? data.readUInt16BE(2)
      : lengthBytes === 8
        ? Number(data.readBigUInt64BE(2))
        : short;
  const end = start + length;
  return data.length < end ? null : {isMasked, start, end};
}

/**
 * Returns a function that takes the bytes of one direction of a connection
 * between hosts, and returns what can be passed on.
 */
function createRewriter(readReplacements) {
  let isOpen = false;
  let held = Buffer.alloc(0);
  return chunk => {
    held = Buffer.concat([held, chunk]);
    const passed = [];
    if (!isOpen) {
      const at = held.indexOf(HEADER_END);
      if (at < 0) {
        return null;
      }
      isOpen = true;
      passed.push(held.subarray(0, at + HEADER_END.length));
      held = held.subarray(at + HEADER_END.length);
    }
    for (let frame = readFrame(held); frame !== null; frame = readFrame(held)) {
      const whole = Buffer.from(held.subarray(0, frame.end));
      const payload = whole.subarray(frame.start);
      const key = frame.isMasked
        ? whole.subarray(frame.start - 4, frame.start)
        : Buffer.alloc(4);
      mask(payload, key);
      replaceBytes(payload, readReplacements());
      mask(payload, key);
      passed.push(whole);
      held = held.subarray(frame.end);
    }
    return Buffer.concat(passed);
  };
}

/** A path that can be cut. */
export class Path {
  isCut = false;
  sockets = new Set();

  cut() {
    this.isCut = true;
    this.sockets.forEach(socket => socket.resetAndDestroy());
    this.sockets.clear();
  }

  heal() {
    this.isCut = false;
  }

  /** Joins two sockets; the rewriters may hold or change what they pass on. */
  join(near, far, createPassOn) {
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      const passOn = createPassOn();
      this.sockets.add(from);
      from.setNoDelay(true);
      from.on('data', chunk => {
        const bytes = passOn(chunk);
        if (bytes !== null && bytes.length > 0 && !to.destroyed) {
          to.write(bytes);
        }
      });
      from.on('end', () => to.end());
      from.on('error', () => to.resetAndDestroy());
      from.on('close', () => this.sockets.delete(from));
    }
  }
}

const PASS_ALL = () => chunk => chunk;

/**
 * Starts a proxy; `selectPath` returns the path of a connection from an IP
 * address. Returns its address and a function that closes it.
 */
export async function startProxy({
  ip = '127.0.0.1',
  port = 0,
  target,
  selectPath,
  createPassOn = PASS_ALL,
}) {
  const [host, targetPort] = target.split(':');
  const server = createServer({allowHalfOpen: true}, near => {
    near.on('error', () => undefined);
    const path = selectPath(near.remoteAddress ?? '');
    if (path.isCut) {
      near.resetAndDestroy();
      return;
    }
    const far = connect({
      host,
      port: Number(targetPort),
      allowHalfOpen: true,
    });
    path.join(near, far, createPassOn);
  });
  server.listen(port, ip);
  await once(server, 'listening');
  return {
    address: `${ip}:${server.address().port}`,
    close: () => server.close(),
  };
}

/** Returns the rewriting of a connection between hosts, both directions. */
export function createPeerPassOn(readReplacements) {
  return () => createRewriter(readReplacements);
}
