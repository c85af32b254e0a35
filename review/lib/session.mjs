/** A client's session. */

import {connect} from 'node:net';
import {LOOPBACK, readLines, splitFirst} from './net.mjs';

/** Time in which a session has to be accepted, in ms. */
const CONNECT_TIMEOUT_MS = 2_000;

/**
 * Opens a session at a host; resolves to null if it is not accepted. `ask`
 * resolves to the word of the answer (`DONE`, a code, or `closed`), its rows,
 * its text and the state.
 */
export function openSession(host, database, recorder) {
  const socket = connect({host: LOOPBACK, port: host.port});
  let lines = [];
  let pending = null;
  let isClosed = false;

  const finish = answer => {
    const resolve = pending;
    pending = null;
    lines = [];
    resolve?.(answer);
  };

  const finishWithReady = rest => {
    const [state] = splitFirst(rest);
    const rows = lines.filter(([word]) => word === 'ROW').map(([, row]) => row);
    const error = lines.find(([word]) => word === 'ERROR');
    const done = lines.find(([word]) => word === 'DONE');
    const [code, text] =
      error === undefined ? ['DONE', done?.[1]] : splitFirst(error[1]);
    finish({word: code, text, rows, state});
  };

  readLines(socket, line => {
    const [word, rest] = splitFirst(line);
    lines.push([word, rest]);
    if (word === 'READY') {
      finishWithReady(rest);
    }
  });
  socket.on('close', () => {
    isClosed = true;
    const error = lines.find(([word]) => word === 'ERROR');
    finish({word: 'closed', text: error?.[1] ?? '', rows: [], state: '-'});
  });

  const send = line =>
    new Promise(resolve => {
      if (isClosed) {
        resolve({word: 'closed', text: '', rows: [], state: '-'});
        return;
      }
      pending = resolve;
      socket.write(`${line}\r\n`);
    });

  const session = {
    host,
    isClosed: () => isClosed,
    /** Returns whether an answer is awaited. */
    isWaiting: () => pending !== null,
    ask: async (id, text) => {
      recorder.add('SEND', `${id} to ${host.name}: ${text}`);
      const answer = await send(`QUERY ${id} ${text}`);
      recorder.add(
        'ANSWER',
        `${id} ${answer.word} ${answer.text ?? ''} rows=${answer.rows.join('|')} state=${answer.state}`,
      );
      return answer;
    },
    close: () => socket.destroy(),
  };

  return new Promise(resolve => {
    const timer = setTimeout(() => {
      socket.destroy();
    }, CONNECT_TIMEOUT_MS);
    void send(`CONNECT ${database} u1`).then(({word}) => {
      clearTimeout(timer);
      resolve(word === 'DONE' ? session : null);
    });
  });
}
