/** Helpers for the JSON over HTTP interfaces of the stand-ins. */

import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo, Server, Socket} from 'node:net';

/** An IP address and TCP port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Handles one request; `body` is the decoded JSON body, or undefined if empty.
 */
export type JsonHandler = (
  req: IncomingMessage,
  body: unknown,
) => Promise<JsonReply> | JsonReply;

/** Status and JSON body of a response. */
export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
}

/** A listening control port. */
export interface ControlServer {
  readonly address: HostPort;
  readonly close: () => Promise<void>;
}

/** Parses `IP:PORT`. Throws if the text has another form. */
export function parseHostPort(text: string): HostPort {
  const colon = text.lastIndexOf(':');
  const host = text.slice(0, colon);
  const port = Number(text.slice(colon + 1));
  if (colon <= 0 || !Number.isInteger(port) || port < 0 || port > 65_535) {
    throw new Error(`invalid address '${text}': expected IP:PORT`);
  }
  return {host, port};
}

/** Formats an address as `IP:PORT`. */
export function formatHostPort(address: HostPort): string {
  return `${address.host}:${address.port}`;
}

/** Reads the whole body of a request. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Sends a JSON response. */
export function sendJson(res: ServerResponse, reply: JsonReply): void {
  const text = JSON.stringify(reply.body);
  res.writeHead(reply.status, {'content-type': 'application/json'});
  res.end(text);
}

/** Starts listening; resolves with the bound address. */
export function listen(
  server: Server,
  bindAddress: HostPort,
): Promise<HostPort> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(bindAddress.port, bindAddress.host, () => {
      server.off('error', reject);
      const {address, port} = server.address() as AddressInfo;
      resolve({host: address, port});
    });
  });
}

/** Tracks the open sockets of a server, so that they can be closed with it. */
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

async function handleRequest(
  req: IncomingMessage,
  res: ServerResponse,
  handlers: Readonly<Record<string, JsonHandler>>,
): Promise<void> {
  const path = (req.url ?? '/').split('?')[0] ?? '/';
  const exact = handlers[`${req.method} ${path}`];
  const prefix = path.slice(0, path.lastIndexOf('/') + 1);
  const handler = exact ?? handlers[`${req.method} ${prefix}*`];
  if (handler === undefined) {
    sendJson(res, {
      status: 404,
      body: {error: `unknown control call: ${path}`},
    });
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

/**
 * Starts a control port; handlers are keyed by `METHOD /path` or
 * `METHOD /path/*`.
 */
export async function startControl(
  bindAddress: HostPort,
  handlers: Readonly<Record<string, JsonHandler>>,
): Promise<ControlServer> {
  const server = createServer((req, res) => {
    handleRequest(req, res, handlers).catch(() => res.destroy());
  });
  const sockets = trackSockets(server);
  const address = await listen(server, bindAddress);
  return {
    address,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        sockets.forEach(socket => socket.destroy());
      }),
  };
}
