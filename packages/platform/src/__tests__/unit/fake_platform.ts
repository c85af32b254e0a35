import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** How the fake platform responds to a call. */
export type FakeAnswer = (req: IncomingMessage, res: ServerResponse) => void;

/** An HTTP server whose response each test sets. */
export interface FakePlatform {
  readonly url: string;
  readonly receivedRequests: IncomingMessage[];
  answer: FakeAnswer;
  readonly close: () => Promise<void>;
}

/** Returns a response with a status and a JSON body. */
export function respondJson(status: number, body: unknown): FakeAnswer {
  return (_req, res) => {
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify(body));
  };
}

/** Starts the fake platform on a free port. */
export async function startFakePlatform(): Promise<FakePlatform> {
  const receivedRequests: IncomingMessage[] = [];
  const server = createServer((req, res) => {
    receivedRequests.push(req);
    req.resume();
    req.on('end', () => fake.answer(req, res));
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  const fake: FakePlatform = {
    url: `http://127.0.0.1:${port}`,
    receivedRequests,
    answer: respondJson(500, {}),
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
  return fake;
}
