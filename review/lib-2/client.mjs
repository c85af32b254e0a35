/** Clients of the system's hosts, which speak the wire protocol. */

import {connect} from 'node:net';

/** Time until a session without an answer is given up, in ms. */
const ANSWER_TIMEOUT_MS = 5_000;

/**
 * Opens a session at `IP:PORT`. `ask` resolves to the word of the answer, its
 * rows and its receipt; the word is `CLOSED` if the connection ended and
 * `SILENT` if no answer came.
 */
export async function openSession(address, database, user = 'u1') {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port), noDelay: true});
  let partial = '';
  let lines = [];
  let isClosed = false;
  let finish = null;

  const settle = answer => {
    const resolve = finish;
    finish = null;
    lines = [];
    resolve?.(answer);
  };
  const readAnswer = isOpening => {
    const [, code] = /^ERROR (\S+)/m.exec(lines.join('\n')) ?? [];
    const rows = lines
      .filter(line => line.startsWith('ROW '))
      .map(line => line.slice('ROW '.length));
    const done = lines.find(line => line.startsWith('DONE '));
    const word = code ?? (done !== undefined || isOpening ? 'DONE' : 'NONE');
    return {word, rows, receipt: done?.slice('DONE '.length) ?? null};
  };
  socket.setEncoding('latin1');
  socket.on('error', () => undefined);
  socket.on('close', () => {
    isClosed = true;
    const {word} = readAnswer(false);
    settle({word: word === 'NONE' ? 'CLOSED' : word, rows: [], receipt: null});
  });
  let isOpening = true;
  socket.on('data', text => {
    const parts = (partial + text).split('\r\n');
    partial = parts.pop();
    for (const line of parts) {
      lines.push(line);
      if (line.startsWith('READY ')) {
        settle(readAnswer(isOpening));
      }
    }
  });
  const send = (line, timeoutMs = ANSWER_TIMEOUT_MS) =>
    new Promise(resolve => {
      if (isClosed) {
        resolve({word: 'CLOSED', rows: [], receipt: null});
        return;
      }
      const timer = setTimeout(
        () => settle({word: 'SILENT', rows: [], receipt: null}),
        timeoutMs,
      );
      finish = answer => {
        clearTimeout(timer);
        resolve(answer);
      };
      socket.write(`${line}\r\n`, 'latin1');
    });
  const opened = await send(`CONNECT ${database} ${user}`);
  isOpening = false;
  return {
    openedWith: opened.word,
    ask: (id, text, timeoutMs) => send(`QUERY ${id} ${text}`, timeoutMs),
    isClosed: () => isClosed,
    close: () => socket.destroy(),
  };
}
