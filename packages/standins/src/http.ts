/** Small helpers for the JSON interfaces of the stand-ins. */

import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo, Server, Socket} from 'node:net';

/** An IP address and TCP port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Answers one request; `body` is the decoded JSON body or undefined. */
export type JsonHandler = (
  req: IncomingMessage,
  body: unknown,
) => Promise<JsonReply> | JsonReply;

/** Status and JSON body of an answer. */
export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
}

/** A listening control port. */
export interface ControlServer {
  readonly address: HostPort;
  readonly close: () => Promise<void>;
}

/** Parses `IP:PORT`. Throws when the text has another form. */
export function parseHostPort(text: string): HostPort {
  const at = text.lastIndexOf(':');
  const host = text.slice(0, at);
  const port = Number(text.slice(at + 1));
  if (at <= 0 || !Number.isInteger(port) || port < 0 || port > 65_535) {
    throw new Error(`'${text}' is no address: give IP:PORT`);
  }
  return {host, port};
}

/** Formats an address as `IP:PORT`. */
export function formatHostPort(address: HostPort): string {
  return `${address.host}:${address.port}`;
}

/** Reads a request's whole body. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Writes a JSON answer. */
export function sendJson(res: ServerResponse, reply: JsonReply): void {
  const text = JSON.stringify(reply.body);
  res.writeHead(reply.status, {'content-type': 'application/json'});
  res.end(text);
}

/** Listens and resolves with the address in use. */
export function listen(server: Server, at: HostPort): Promise<HostPort> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(at.port, at.host, () => {
      server.off('error', reject);
      const {address, port} = server.address() as AddressInfo;
      resolve({host: address, port});
    });
  });
}

/** Tracks the open sockets of a server, so that it can be closed at once. */
export function trackSockets(server: {
  on(event: 'connection', fn: (socket: Socket) => void): unknown;
}): ReadonlySet<Socket> {
  const sockets = new Set<Socket>();
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  return sockets;
}

async function answer(
  req: IncomingMessage,
  res: ServerResponse,
  handlers: Readonly<Record<string, JsonHandler>>,
): Promise<void> {
  const path = (req.url ?? '/').split('?')[0] ?? '/';
  const exact = handlers[`${req.method} ${path}`];
  const prefix = path.slice(0, path.lastIndexOf('/') + 1);
  const handler = exact ?? handlers[`${req.method} ${prefix}*`];
  if (handler === undefined) {
    sendJson(res, {status: 404, body: {error: `no such call: ${path}`}});
    return;
  }
  const raw = await readBody(req);
  try {
    const body: unknown =
      raw.length === 0 ? undefined : JSON.parse(raw.toString('utf8'));
    sendJson(res, await handler(req, body));
  } catch (err) {
    sendJson(res, {status: 400, body: {error: String(err)}});
  }
}

/** Starts a control port; handlers are named `METHOD /path` or `METHOD /path/*`. */
export async function startControl(
  at: HostPort,
  handlers: Readonly<Record<string, JsonHandler>>,
): Promise<ControlServer> {
  const server = createServer((req, res) => {
    answer(req, res, handlers).catch(() => res.destroy());
  });
  const sockets = trackSockets(server);
  const address = await listen(server, at);
  return {
    address,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        sockets.forEach(socket => socket.destroy());
      }),
  };
}
