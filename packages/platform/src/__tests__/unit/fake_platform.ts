import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** What the fake does with a call. */
export type FakeAnswer = (req: IncomingMessage, res: ServerResponse) => void;

/** A tiny HTTP server whose answer each test sets. */
export interface FakePlatform {
  readonly url: string;
  readonly seen: IncomingMessage[];
  answer: FakeAnswer;
  readonly close: () => Promise<void>;
}

/** Returns an answer of a status and a JSON body. */
export function json(status: number, body: unknown): FakeAnswer {
  return (_req, res) => {
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify(body));
  };
}

/** Starts the fake on a free port. */
export async function startFakePlatform(): Promise<FakePlatform> {
  const seen: IncomingMessage[] = [];
  const server = createServer((req, res) => {
    seen.push(req);
    req.resume();
    req.on('end', () => fake.answer(req, res));
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  const fake: FakePlatform = {
    url: `http://127.0.0.1:${port}`,
    seen,
    answer: json(500, {}),
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
  return fake;
}
