/** A client's session, which sends one statement at a time. */

import {connect} from 'node:net';

/**
 * Opens a session; resolves once it is answered. `ask` resolves to the answer of
 * a statement, with the word `CLOSED` if the connection ends before.
 */
export function openSession({ip, callerPort}, database, name = 'u1') {
  return new Promise(resolve => {
    const socket = connect({host: ip, port: callerPort, noDelay: true});
    let partial = '';
    let lines = [];
    let isClosed = false;
    let handle = null;

    const finish = answer => {
      const then = handle;
      handle = null;
      lines = [];
      then?.(answer);
    };
    const parse = () => {
      const result = lines.find(line => /^(DONE|ERROR)/.test(line)) ?? '';
      const [word, code = '', ...rest] = result.split(' ');
      const ready = lines.at(-1).split(' ');
      return {
        word: word === 'ERROR' ? code : word,
        text: rest.join(' ').slice(0, 200),
        receipt: word === 'DONE' ? code : null,
        rows: lines.filter(line => line.startsWith('ROW')).map(l => l.slice(4)),
        state: ready[0] === 'READY' ? ready[1] : null,
      };
    };
    socket.setEncoding('latin1');
    socket.on('data', text => {
      const parts = (partial + text).split('\r\n');
      partial = parts.pop();
      for (const line of parts) {
        lines.push(line);
        if (line.startsWith('READY')) {
          finish(parse());
        }
      }
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      isClosed = true;
      const answer = lines.length === 0 ? null : parse();
      finish({
        word: 'CLOSED',
        text: answer?.word ?? '',
        receipt: null,
        rows: [],
        state: null,
      });
    });
    const session = {
      isClosed: () => isClosed,
      ask: (id, text) =>
        new Promise(done => {
          if (isClosed) {
            done({word: 'CLOSED', text: '', receipt: null, rows: []});
            return;
          }
          handle = done;
          socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
        }),
      close: () => socket.destroy(),
    };
    handle = answer => resolve({answer, session});
    socket.write(`CONNECT ${database} ${name}\r\n`);
  });
}
